"""Typed errors shared by the programs.

Expected failures travel as `returns.result.Result` values that carry one of
these classes; exceptions are kept for faults in the program.
"""

from typing import NamedTuple


class PeerError(NamedTuple):
    """A call to another instance failed.

    Attributes:
        code: `timeout`, `unreachable`, `refused`, `protocol` or a code set by
            the handler.
        detail: One sentence for people.
        sent: Whether the request may have reached the other instance.
    """

    code: str
    detail: str
    sent: bool


class ProposeError(NamedTuple):
    """A command was not applied, or it is unknown whether it was.

    Attributes:
        code: `not_leader`, `unknown`, `timeout`, `storage` or `unavailable`.
        detail: One sentence for people.
        applied_unknown: Whether the command may still be applied.
    """

    code: str
    detail: str
    applied_unknown: bool


class HandlerError(Exception):
    """Raised by a peer handler to refuse a request with a code."""

    def __init__(self, code: str, detail: str) -> None:
        super().__init__(f"{code}: {detail}")
        self.code = code
        self.detail = detail
