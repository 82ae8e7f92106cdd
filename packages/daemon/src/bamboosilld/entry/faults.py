"""Failures of HTTP exchanges, and whether the request may have run."""

from typing import NamedTuple


class Fault(NamedTuple):
    """An exchange that failed before a complete response was read.

    Attributes:
        code: Stable code; `entry.retry` and `entry.rejections` map it to a
            retry rule and to the reason that the caller is given.
        detail: Human-readable description.
        may_have_run: Whether the request may have been executed. False only
            if no byte of it was written, or the receiver rejected it before
            executing it.
    """

    code: str
    detail: str
    may_have_run: bool
