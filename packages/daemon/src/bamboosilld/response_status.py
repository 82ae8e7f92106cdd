"""Statuses that a response of an upstream may have.

A faulty upstream may send any three digits. Both request paths end an exchange
with another status as malformed; its request may have run.
"""

_FIRST_STATUS = 100
_LAST_STATUS = 599
_FIRST_FINAL_STATUS = 200
# No request asks for another protocol.
_SWITCHING_PROTOCOLS = 101


def is_valid(status: int) -> bool:
    """Returns whether an upstream may answer a request with a status."""
    return (
        _FIRST_STATUS <= status <= _LAST_STATUS
        and status != _SWITCHING_PROTOCOLS
    )


def is_informational(status: int) -> bool:
    """Returns whether another response follows one with a valid status."""
    return is_valid(status) and status < _FIRST_FINAL_STATUS
