"""Client of the zone leader: sends commands, heartbeats and queries."""

import collections
from collections.abc import Callable
import json
from typing import Any

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from bamboosill_common import clock as clock_lib
from bamboosill_common import errors
from bamboosill_common import wire
from bamboosill_common.generated import zone as messages
from bamboosilld.placement import policy as policy_lib
from bamboosilld.zone import authority as authority_lib
from bamboosilld.zone import membership as membership_lib
from bamboosilld.zone import renewal as renewal_lib
from bamboosilld.zone import routes

RECORD_COMMANDS = (
    messages.BeginRequest,
    messages.FinishRequest,
    messages.AbandonRequest,
)
_RETRY_INTERVAL_S = 0.05
_MAX_TOKENS = 100_000
# Error codes with which a command certainly was not and will not be applied.
_NOT_APPLIED = ("not_leader", "unknown_group", "unavailable")


class LeaderClient:
    """Sends to the current leader, local or remote, and retries if safe."""

    def __init__(
        self,
        membership: membership_lib.Membership,
        clock: clock_lib.Clock,
        call_leader: renewal_lib.CallLeader,
        get_authority: Callable[[], authority_lib.Authority | None],
    ) -> None:
        self._membership = membership
        self._clock = clock
        self._call_leader = call_leader
        self._get_authority = get_authority
        self._tokens: collections.OrderedDict[tuple[str, str], int] = (
            collections.OrderedDict()
        )

    async def propose(
        self, message: Any, deadline_s: float
    ) -> Result[Any, errors.ProposeError]:
        """Commits a command and returns its result message.

        Retries only while it is certain that the command was not applied.
        """
        if isinstance(message, messages.AbandonRequest) and not message.token:
            token = self._tokens.get((message.customer, message.id))
            if token is None:
                # Without a token, the command could remove the record of
                # another attempt.
                return Success(messages.CommandStatus(code="not_begun_here"))
            message = message._replace(token=token)
        end_s = self._clock.monotonic() + deadline_s
        while True:
            left_s = end_s - self._clock.monotonic()
            if left_s <= 0:
                return _make_failure("timeout", "no leader was found")
            result = await self._propose_once(message, left_s)
            match result:
                case Success(value):
                    self._store_token(message, value)
                    return result
                case Failure(error) if error.code not in _NOT_APPLIED:
                    return result
                case Failure(error) if error.applied_unknown:
                    return result
            await self._clock.sleep(_RETRY_INTERVAL_S)

    async def drain(
        self, upstream_id: str, deadline_s: float
    ) -> Result[Any, errors.ProposeError]:
        """Marks an upstream as draining."""
        state = self._membership.state
        upstream = state.upstreams.find(upstream_id) if state else None
        if upstream is None:
            return Success(messages.CommandStatus(code="unknown_upstream"))
        draining = upstream._replace(state=policy_lib.DRAINING)
        return await self.propose(messages.PutUpstream(draining), deadline_s)

    async def send_heartbeat(
        self, heartbeat: messages.UpstreamBeat, deadline_s: float
    ) -> Result[messages.UpstreamBeatReply, errors.PeerError]:
        """Forwards a heartbeat; retries while no leader is known."""
        heartbeat = heartbeat._replace(group=self._membership.group)
        end_s = self._clock.monotonic() + deadline_s
        while True:
            left_s = end_s - self._clock.monotonic()
            result = await self._call_leader(
                heartbeat, messages.UpstreamBeatReply, max(0.0, left_s)
            )
            match result:
                case Success(reply) if reply.code != "not_leader":
                    return result
                case Failure(error) if error.code == "timeout":
                    return result
            if self._clock.monotonic() + _RETRY_INTERVAL_S >= end_s:
                detail = "no zone leader was found"
                return Failure(errors.PeerError("unreachable", detail, False))
            await self._clock.sleep(_RETRY_INTERVAL_S)

    async def explain(
        self, route: routes.Route, deadline_s: float
    ) -> Result[dict[str, Any], errors.PeerError]:
        """Returns the leader's description of a key's assignment."""
        if not route.keyspace:
            return Success({"status": route.status})
        message = messages.Explain(route.keyspace, route.shard, route.key)
        result = await self._call_leader(
            message, messages.ExplainReply, deadline_s
        )
        return result.map(lambda reply: json.loads(reply.document))

    async def _propose_once(
        self, message: Any, deadline_s: float
    ) -> Result[Any, errors.ProposeError]:
        authority = self._get_authority()
        if authority is not None:
            return await authority.propose(message)
        command = messages.ProposeCommand(
            self._membership.group, wire.pack(message)
        )
        result = await self._call_leader(
            command, messages.ProposeReply, deadline_s
        )
        match result:
            case Success(reply) if reply.ok:
                return Success(wire.unpack(reply.result))
            case Success(reply):
                return _make_failure(
                    reply.code, "refused", reply.code == "unknown"
                )
            case Failure(error) if error.sent and error.code in (
                "timeout",
                "unreachable",
                "internal",
                "protocol",
            ):
                return _make_failure("unknown", error.detail, True)
            case Failure(error) if error.sent:
                return _make_failure(error.code, error.detail)
            case Failure(error):
                return _make_failure("not_leader", error.detail)
        raise AssertionError

    def _store_token(self, message: Any, value: Any) -> None:
        match message:
            case messages.BeginRequest():
                if value.token:
                    self._tokens[(message.customer, message.id)] = value.token
                while len(self._tokens) > _MAX_TOKENS:
                    self._tokens.popitem(last=False)
            case messages.FinishRequest() | messages.AbandonRequest():
                self._tokens.pop((message.customer, message.id), None)


def _make_failure(
    code: str, detail: str, unknown: bool = False
) -> Result[Any, errors.ProposeError]:
    return Failure(errors.ProposeError(code, detail, unknown))
