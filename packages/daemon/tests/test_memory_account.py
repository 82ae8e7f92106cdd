"""Tests of the bound on the bytes that all messages of a process hold."""

import pytest

from bamboosilld import memory_account

_KIB = 1024


@pytest.mark.parametrize(
    ("held", "count", "has_room"),
    [
        # Short messages may use all of it, long ones three quarters.
        ([], 64 * _KIB, True),
        ([], 750 * _KIB, True),
        ([], 751 * _KIB, False),
        ([750 * _KIB], 64 * _KIB, True),
        ([750 * _KIB], 65 * _KIB, False),
        ([750 * _KIB, *[50 * _KIB] * 5], 1, False),
    ],
)
def test_long_messages_leave_room_for_short_ones(held, count, has_room):
    """Guards against short requests that fail for a few long ones."""
    account = memory_account.MemoryAccount(1000 * _KIB)
    for each in held:
        assert account.open().try_add(each)
    assert account.open().try_add(count) == has_room


def test_what_is_held_returns_to_zero():
    """Guards against an account that fills up over time."""
    account = memory_account.MemoryAccount(1000)
    first, second = account.open(), account.open()
    assert first.try_add(600)
    assert second.try_add(300)
    assert not second.try_add(200)
    first.remove(200)
    # More than is left is not taken from others.
    first.remove(900)
    second.release()
    second.release()
    assert account.held_bytes == first.held_bytes == second.held_bytes == 0
