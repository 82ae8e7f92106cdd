"""Tests of the serve lease on the instance that holds it."""

import pytest

from bamboosill_common.generated import zone as messages
from bamboosilld.zone import held_lease as held_lease_lib

REPLY = messages.LeaseReply(True, 1000, 400, commit_index=10)


@pytest.mark.parametrize(
    ("delegation_lapses", "applied", "now_s", "valid"),
    [
        (False, 10, 5.0, True),
        (False, 10, 5.999, True),
        (False, 10, 6.0, False),
        (False, 9, 5.0, False),
        (True, 10, 5.399, True),
        (True, 10, 5.4, False),
    ],
)
def test_lease(delegation_lapses, applied, now_s, valid):
    """Guards against a lease that is too long, or ahead of the applied log."""
    holder = held_lease_lib.LeaseHolder()
    holder.accept(REPLY, 5.0)
    assert holder.is_valid(delegation_lapses, applied, now_s) == valid


def test_earlier_lease_holds_while_the_log_is_applied():
    """Guards against refusals at each renewal while the log is applied."""
    holder = held_lease_lib.LeaseHolder()
    holder.accept(REPLY, 5.0)
    assert holder.is_valid(False, 10, 5.2)
    holder.accept(REPLY._replace(commit_index=20), 5.25)
    assert holder.is_valid(False, 15, 5.9)
    assert not holder.is_valid(False, 15, 6.1)
    assert holder.is_valid(False, 20, 6.1)
