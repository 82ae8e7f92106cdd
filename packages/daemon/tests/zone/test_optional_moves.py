"""Tests of when a leader may start optional moves."""

import types

import pytest

from bamboosill_common.generated import consensus
from bamboosill_common.generated import zone as messages
from bamboosilld.zone import assignments
from bamboosilld.zone import optional_moves
from bamboosilld.zone import serve_leases as serve_leases_lib
from bamboosilld.zone import state as state_lib

OWNER = assignments.Owner("u", 1)
DEADLINE_S = 30.0


class Leader:
    """A leader elected at 0 s, and two members that renew their leases."""

    def __init__(self, checks_fences):
        state = state_lib.ZoneState("z", 1)
        state.upstreams.put(
            messages.Upstream(
                id="u", incarnation=1, zone="z", checks_fences=checks_fences
            )
        )
        members = tuple(consensus.Member(name, 1, "", True) for name in "ab")
        node = types.SimpleNamespace(membership=consensus.Membership(members))
        self.leases = serve_leases_lib.ServeLeases(0.0)
        self.moves = optional_moves.OptionalMoveGate(
            state, node, self.leases, lambda keyspace: DEADLINE_S, 0.0
        )
        self.now_s = 0.0

    def run(self, seconds, instances):
        end_s = self.now_s + seconds
        while self.now_s < end_s:
            self.now_s += 0.25
            for name in instances:
                renewal = messages.RenewLease(instance=name, incarnation=1)
                self.leases.extend(
                    self.leases.record_renewal(renewal), self.now_s
                )
            self.moves.has_complete_reports(self.now_s)

    def may_begin(self, key):
        place = assignments.AssignmentKey("k", 1, key)
        return self.moves.may_begin(place, OWNER, self.now_s)


@pytest.mark.parametrize(
    ("checks_fences", "key", "runs", "allowed"),
    [
        (True, "", [(9, "ab")], False),
        (True, "", [(11, "ab")], True),
        (True, "", [(60, "a")], False),
        (True, "", [(60, "a"), (9, "ab")], False),
        (True, "", [(11, "ab"), (1, "a")], False),
        (True, "", [(11, "ab"), (2, "a")], True),
        (True, "hot", [(11, "ab")], False),
        (True, "hot", [(32, "ab")], True),
        (False, "", [(11, "ab")], False),
        (False, "", [(32, "ab")], True),
        (False, "", [(32, "ab"), (30, "a")], False),
        (False, "", [(32, "ab"), (32, "a")], True),
    ],
)
def test_optional_move(checks_fences, key, runs, allowed):
    """Guards against moves that would wait for lost or unknown leases."""
    leader = Leader(checks_fences)
    for seconds, instances in runs:
        leader.run(seconds, instances)
    assert leader.may_begin(key) == allowed
