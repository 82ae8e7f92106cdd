"""Tests of the grants that the stand-in for upstreams holds."""

import pytest

from bamboosill_dev.upstream import grants as grants_lib

KEYSPACE = "shopfront/hold/all"
LAPSE = "shopfront/lapse/all"


class _Clock:
    """A clock that is moved by hand."""

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


def make_work(shard=1, fence=5, key="k", keyspace=KEYSPACE):
    return grants_lib.Work(keyspace, shard, fence, "acme", key)


def make_notice(fence, shard=1, key=""):
    return {
        "keyspace": KEYSPACE,
        "shards": [shard],
        "fence": fence,
        "key": key,
    }


SHARD = {"keyspace": KEYSPACE, "shard": 1, "fence": 5, "lapse": False}
HOT = {**SHARD, "fence": 9, "key": "acme\x1fhot"}


@pytest.mark.parametrize(
    ("work", "allowed"),
    [
        (make_work(), True),
        (make_work(fence=4), False),
        (make_work(fence=6), False),
        (make_work(shard=2), False),
        (make_work(key="hot", fence=9), True),
        (make_work(key="hot", fence=5), False),
        (make_work(fence=9), False),
        (make_work(keyspace=LAPSE), False),
    ],
)
def test_only_granted_fences_run(work, allowed):
    """Guards against work under a fence that was not granted."""
    grants, _ = make_grants(SHARD, HOT)
    assert grants.allows(work) is allowed


def test_leases_count_from_the_sending_of_the_heartbeat():
    """Guards against a lease that outlives what the authority gave."""
    lapse = {"keyspace": LAPSE, "shard": 1, "fence": 5, "lapse": True}
    grants, clock = make_grants(SHARD, lapse)
    clock.now_s = 100.6
    assert grants.allows(make_work(keyspace=LAPSE))
    # A reply to a heartbeat sent before adds nothing.
    grants.apply_heartbeat(99.0, make_reply(unchanged=True))
    clock.now_s = 100.8
    assert not grants.allows(make_work(keyspace=LAPSE))
    assert grants.allows(make_work())
    clock.now_s = 101.6
    assert not grants.allows(make_work())


def test_revoked_grant_does_not_come_back():
    """Guards against an overtaken reply that restores a revoked grant."""
    grants, clock = make_grants(SHARD)
    clock.now_s = 100.2
    grants.revoke(make_notice(7))
    assert not grants.allows(make_work())
    grants.apply_heartbeat(100.1, make_reply(SHARD))
    grants.add(make_notice(5))
    assert not grants.allows(make_work())
    grants.add(make_notice(8))
    assert grants.allows(make_work(fence=8))


def test_hot_key_that_moved_away_is_refused_under_the_shards_fence():
    """Guards against two owners of a key that left its shard."""
    grants, _ = make_grants(SHARD)
    grants.revoke(make_notice(7, key="acme\x1fhot"))
    assert not grants.allows(make_work(key="hot"))
    assert grants.allows(make_work(key="cold"))


def test_posted_grant_survives_an_older_reply():
    """Guards against a prepared grant lost to a reply made before it."""
    grants, clock = make_grants(SHARD)
    clock.now_s = 100.2
    grants.add(make_notice(8, shard=2))
    grants.apply_heartbeat(100.1, make_reply(SHARD))
    assert grants.allows(make_work(shard=2, fence=8))
    grants.apply_heartbeat(100.3, make_reply(SHARD))
    assert not grants.allows(make_work(shard=2, fence=8))


def test_new_incarnation_holds_nothing():
    """Guards against grants of an ended incarnation."""
    grants, _ = make_grants(SHARD)
    grants.drop_all()
    assert not grants.allows(make_work())
