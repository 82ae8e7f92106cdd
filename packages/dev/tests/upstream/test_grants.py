"""Tests of the grants that the stand-in upstream holds."""

import pytest

from bamboosill_dev.upstream import grants as grants_lib

HOLD_KEYSPACE = "shopfront/hold/all"
LAPSE_KEYSPACE = "shopfront/lapse/all"


class _Clock:
    """Manually advanced clock."""

    now_s = 100.0

    def __call__(self):
        return self.now_s


def make_grants(*documents):
    clock = _Clock()
    grants = grants_lib.Grants(clock)
    grants.apply_heartbeat(100.0, make_reply(*documents))
    return grants, clock


def make_reply(*documents, unchanged=False):
    return {
        "unchanged": unchanged,
        "grants_version": 1,
        "lease_ms": 1500,
        "lapse_lease_ms": 700,
        "grants": list(documents),
    }


def make_target(shard=1, fence=5, key="k", keyspace=HOLD_KEYSPACE):
    return grants_lib.RequestTarget(keyspace, shard, fence, "acme", key)


def make_notice(fence, shard=1, key=""):
    return {
        "keyspace": HOLD_KEYSPACE,
        "shards": [shard],
        "fence": fence,
        "key": key,
    }


SHARD_GRANT = {
    "keyspace": HOLD_KEYSPACE,
    "shard": 1,
    "fence": 5,
    "lapse": False,
}
HOT_KEY_GRANT = {**SHARD_GRANT, "fence": 9, "key": "acme\x1fhot"}


@pytest.mark.parametrize(
    ("target", "allowed"),
    [
        (make_target(), True),
        (make_target(fence=4), False),
        (make_target(fence=6), False),
        (make_target(shard=2), False),
        (make_target(key="hot", fence=9), True),
        (make_target(key="hot", fence=5), False),
        (make_target(fence=9), False),
        (make_target(keyspace=LAPSE_KEYSPACE), False),
    ],
)
def test_only_granted_fences_run(target, allowed):
    """Guards against requests that run under a fence that was not granted."""
    grants, _ = make_grants(SHARD_GRANT, HOT_KEY_GRANT)
    assert grants.allows(target) is allowed


def test_leases_count_from_the_sending_of_the_heartbeat():
    """Guards against a lease that ends later than the authority assumes.

    A lease that counted from the reply would be longer by the time of the
    exchange.
    """
    # The lease of this grant lasts `lapse_lease_ms`, which is shorter than
    # `lease_ms`.
    grant_in_lapse_mode = {
        "keyspace": LAPSE_KEYSPACE,
        "shard": 1,
        "fence": 5,
        "lapse": True,
    }
    grants, clock = make_grants(SHARD_GRANT, grant_in_lapse_mode)
    clock.now_s = 100.6
    assert grants.allows(make_target(keyspace=LAPSE_KEYSPACE))
    # The reply to an older heartbeat does not extend the lease.
    grants.apply_heartbeat(99.0, make_reply(unchanged=True))
    clock.now_s = 100.8
    assert not grants.allows(make_target(keyspace=LAPSE_KEYSPACE))
    assert grants.allows(make_target())
    clock.now_s = 101.6
    assert not grants.allows(make_target())


def test_revoked_grant_is_not_restored():
    """Guards against a delayed reply that restores a revoked grant."""
    grants, clock = make_grants(SHARD_GRANT)
    clock.now_s = 100.2
    grants.revoke(make_notice(7))
    assert not grants.allows(make_target())
    grants.apply_heartbeat(100.1, make_reply(SHARD_GRANT))
    grants.add(make_notice(5))
    assert not grants.allows(make_target())
    grants.add(make_notice(8))
    assert grants.allows(make_target(fence=8))


def test_hot_key_that_moved_away_is_refused_under_the_shards_fence():
    """Guards against two owners of a hot key that has an owner of its own."""
    grants, _ = make_grants(SHARD_GRANT)
    grants.revoke(make_notice(7, key="acme\x1fhot"))
    assert not grants.allows(make_target(key="hot"))
    assert grants.allows(make_target(key="cold"))


def test_posted_grant_survives_an_older_reply():
    """Guards against a posted grant that an older reply removes."""
    grants, clock = make_grants(SHARD_GRANT)
    clock.now_s = 100.2
    grants.add(make_notice(8, shard=2))
    grants.apply_heartbeat(100.1, make_reply(SHARD_GRANT))
    assert grants.allows(make_target(shard=2, fence=8))
    grants.apply_heartbeat(100.3, make_reply(SHARD_GRANT))
    assert not grants.allows(make_target(shard=2, fence=8))


def test_new_incarnation_holds_nothing():
    """Guards against grants that outlive their incarnation."""
    grants, _ = make_grants(SHARD_GRANT)
    grants.drop_all()
    assert not grants.allows(make_target())
