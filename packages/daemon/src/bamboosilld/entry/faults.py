"""Why an exchange gave no answer, and what that says about the request."""

from typing import NamedTuple


class Fault(NamedTuple):
    """An exchange without a whole answer.

    Attributes:
        code: Stable code; see `REASONS` in `entry.retry`.
        detail: One sentence for people.
        may_have_run: Whether the request may have run; false only if no byte
            was written or the receiver refused it before running it.
    """

    code: str
    detail: str
    may_have_run: bool
