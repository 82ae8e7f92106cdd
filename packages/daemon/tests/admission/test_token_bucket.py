"""Tests of the rate limiter on limits that change."""

import pytest

from bamboosilld.admission import token_bucket


@pytest.mark.parametrize(
    ("bursts", "rate_per_s", "expected"),
    [
        ((0.5, 0.5), 2.0, 200),
        ((0.5, 0.4), 0.5, 50),
        ((0.0, 0.0), 1.0, 100),
        ((3.0, 0.5), 1.0, 100),
    ],
)
def test_frequent_changes_of_the_limits_do_not_stop_admission(
    bursts, rate_per_s, expected
):
    """Guards against saved tokens that each change of the limits takes."""
    bucket = token_bucket.Bucket(rate_per_s, bursts[0], 0.0)
    admitted = 0
    for step in range(1, 1001):
        now_s = step / 10
        bucket.set_limits(rate_per_s, bursts[step % 2], now_s)
        admitted += bucket.try_take(now_s)
    assert expected - 2 <= admitted <= expected + max(bursts) + 1


def test_a_smaller_burst_takes_the_tokens_beyond_it():
    """Guards against a burst that is kept after the contract was reduced."""
    bucket = token_bucket.Bucket(1.0, 10.0, 0.0)
    bucket.set_limits(1.0, 2.0, 0.0)
    assert sum(bucket.try_take(0.0) for _ in range(10)) == 2
