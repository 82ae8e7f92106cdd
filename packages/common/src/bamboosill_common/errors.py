"""Error types shared by the programs.

Expected failures are returned in a `returns.result.Result`, with one of these
classes as the error value. Apart from exceptions with a documented purpose,
such as `HandlerError`, exceptions indicate programming errors.
"""

from typing import NamedTuple


class PeerError(NamedTuple):
    """A failed call to another instance.

    Attributes:
        code: `timeout`, `unreachable`, `refused`, `protocol`, or the code of
            the `HandlerError` that the other instance raised.
        detail: Human-readable message.
        sent: Whether the request may have reached the other instance.
    """

    code: str
    detail: str
    sent: bool


class ProposeError(NamedTuple):
    """A consensus command that was not applied, or may not have been.

    Attributes:
        code: `not_leader`, `unknown`, `timeout`, `storage` or `unavailable`.
        detail: Human-readable message.
        applied_unknown: Whether the command may still be applied.
    """

    code: str
    detail: str
    applied_unknown: bool


class HandlerError(Exception):
    """Raised by a request handler to reject a request with an error code."""

    def __init__(self, code: str, detail: str) -> None:
        super().__init__(f"{code}: {detail}")
        self.code = code
        self.detail = detail
