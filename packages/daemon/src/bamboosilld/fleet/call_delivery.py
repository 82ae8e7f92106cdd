"""Delivers grants of keys by calls to their holders.

A grant is a call of its own for each range; sent again, it renews. A call
without a response may be carried out late, after later ones, and its lease
counts from its arrival. Therefore:

- The lease of a holder counts from the latest time at which its last call can
  arrive, whether that call was answered or not.
- Keys that their holder has released are free at once only if every earlier
  grant of them was answered. Otherwise they are free when the lease of the last
  unanswered one is over, as it may be carried out after the release. The same
  holds after an election, for grants of the former leader.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

from bamboosill_common import errors
from bamboosill_common import logs
from bamboosill_common.generated import fleet as messages
from bamboosilld.fleet import called_upstream
from bamboosilld.fleet import key_delivery
from bamboosilld.fleet import keyplan
from bamboosilld.fleet import keyranges
from bamboosilld.fleet import leases as leases_lib
from bamboosilld.fleet import state as state_lib
from bamboosilld.fleet import upstream_calls

# Length of a lease as a fraction of one that heartbeats renew: renewals do not
# wait for a heartbeat.
_LEASE_FRACTION = 0.8
# Fraction of a lease after which a grant is renewed: an election and a lost
# call fit into the rest. The exact time is random, which spreads the calls.
_RENEWAL_LEASE_FRACTION = 0.33
_RENEWAL_JITTER = 0.2
# Delay before a call that could not be sent is tried again, and before keys get
# a new fence because a higher one was seen; doubled with each further refusal.
_RETRY_DELAY_S = 0.3
_MAX_REFUSAL_DELAY_S = 5.0
# Calls to one upstream that are in flight at a time. An upstream that hangs
# delays no other.
_MAX_GRANTS_IN_FLIGHT = 3
_MAX_RELEASES_IN_FLIGHT = 8
# Time limit of the first try of a release, doubled with each further one: it is
# answered when the work on the keys has ended.
_RELEASE_TIMEOUT_S = 1.0

_log = logs.get_logger("fleet")


@key_delivery.register("rpc")
class CallDelivery(key_delivery.Delivery):
    """Calls upstreams to grant, renew and release keys."""

    # Each range costs a call for each renewal.
    ranges_per_upstream = 4
    max_ranges = 24
    is_immediate = True

    def __init__(self, environment: key_delivery.Environment) -> None:
        self._keys = environment.keys
        self._state = environment.state
        self._clock = environment.clock
        self._may_act = environment.may_act
        self._client = environment.call_client
        self._rng = environment.rng
        self._tasks: set[asyncio.Task[None]] = set()
        lease_s = environment.lease_s * _LEASE_FRACTION
        self.leases = leases_lib.Leases(
            environment.clock, lease_s, upstream_calls.MAX_DELAY_S
        )
        self._renewal_s = lease_s * _RENEWAL_LEASE_FRACTION
        self.reset()

    def reset(self) -> None:
        """Drops all in-memory state; called after each election."""
        for task in self._tasks:
            task.cancel()
        self._tasks.clear()
        self.leases.reset()
        self._holders: dict[
            state_lib.UpstreamIncarnation, called_upstream.CalledUpstream
        ] = {}
        # Until then, grants of the former leader may be carried out.
        self._certain_from_s = self.leases.get_expiry_s(
            state_lib.UpstreamIncarnation("", 0)
        )

    async def apply_report(
        self,
        incarnation: state_lib.UpstreamIncarnation,
        report: messages.UpstreamReport,
    ) -> None:
        """Takes a heartbeat as a sign of life; its reply renews nothing."""
        holder = self._get_holder(incarnation, report.item)
        holder.heard_s = self._clock.monotonic()
        if report.item.draining:
            self._revoke_all(report.item.service, incarnation)
            self._start_releases(report.item.service, incarnation, holder)

    async def tick(self, service: str) -> None:
        """Starts the calls that are due for a service.

        Raises:
            errors.HandlerError: A command could not be committed.
        """
        await self._pass_on_replaced(service)
        await self._keys.grant_reserved(service, None)
        self._start_calls(service)
        self._forget_ended()

    def prepare_grants(
        self, incarnations: Iterable[state_lib.UpstreamIncarnation]
    ) -> None:
        """Begins leases: the first calls follow when the grants are committed.

        Otherwise the new holders would look like ones whose leases are over.
        """
        for incarnation in incarnations:
            self.leases.renew(incarnation)

    def is_reachable(self, incarnation: state_lib.UpstreamIncarnation) -> bool:
        """Returns whether an upstream responds to calls, as far as known."""
        holder = self._holders.get(incarnation)
        return holder is None or holder.is_reachable(self._clock.monotonic())

    def may_free_replaced(self) -> bool:
        """Returns False: calls may have reached the later process."""
        return False

    def is_release_final(self, move: keyplan.Move) -> bool:
        """Returns whether every earlier grant of the keys was answered."""
        certain_s = self._find_certain_s(
            move.incarnation, move.first, move.last
        )
        return self._clock.monotonic() >= certain_s

    def _start_calls(self, service: str) -> None:
        for item in self._state.upstreams.values():
            if item.service == service:
                incarnation = state_lib.UpstreamIncarnation(
                    item.upstream, item.born_ms
                )
                holder = self._get_holder(incarnation, item)
                if item.draining:
                    self._revoke_all(service, incarnation)
                self._start_grants(service, incarnation, holder)
        for incarnation, holder in self._holders.items():
            if holder.item.service == service:
                if self._state.end_reasons.get(incarnation) == "left":
                    # It serves for a while after it has deregistered itself.
                    self._revoke_all(service, incarnation)
                self._start_releases(service, incarnation, holder)

    def _get_holder(
        self,
        incarnation: state_lib.UpstreamIncarnation,
        item: messages.UpstreamItem,
    ) -> called_upstream.CalledUpstream:
        holder = self._holders.get(incarnation)
        if holder is None:
            # After an election: the former leader has heard from it.
            holder = self._holders[incarnation] = (
                called_upstream.CalledUpstream(item, self._clock.monotonic())
            )
        holder.item = item
        return holder

    def _revoke_all(
        self, service: str, incarnation: state_lib.UpstreamIncarnation
    ) -> None:
        grants = self._keys.list_grants(incarnation, service)
        if grants:
            self._keys.revoke(
                service,
                [
                    keyplan.Move(incarnation, each.first, each.last)
                    for each in grants
                ],
            )

    def _start_grants(
        self,
        service: str,
        incarnation: state_lib.UpstreamIncarnation,
        holder: called_upstream.CalledUpstream,
    ) -> None:
        now_s = self._clock.monotonic()
        wanted = self._keys.list_grants(incarnation, service)
        in_flight = sum(
            each.task is not None for each in holder.grants.values()
        )
        holder.grants = {
            each: grant
            for each, grant in holder.grants.items()
            if grant.task is not None or each in wanted
        }
        due = []
        for each in wanted:
            grant = holder.grants.setdefault(each, called_upstream.Grant(now_s))
            is_due = grant.task is None and grant.due_s <= now_s
            if is_due and holder.may_call(grant, now_s):
                due.append((grant.due_s, each))
        for _, each in sorted(due)[: max(0, _MAX_GRANTS_IN_FLIGHT - in_flight)]:
            holder.grants[each].task = self._spawn(
                self._run_grant, service, incarnation, holder, each
            )

    async def _run_grant(
        self,
        service: str,
        incarnation: state_lib.UpstreamIncarnation,
        holder: called_upstream.CalledUpstream,
        each: messages.KeyRange,
    ) -> None:
        """Makes one call that grants or renews a range."""
        grant = holder.grants[each]

        def may_send() -> bool:
            is_wanted = each in self._keys.list_grants(incarnation, service)
            if not (self._may_act() and is_wanted):
                return False
            self.leases.renew(incarnation)
            grant.sent_s = self._clock.monotonic()
            return True

        try:
            result = await self._client.grant(
                holder.item, each, self.leases.lease_s, may_send
            )
            self._record_result(incarnation, holder, each, grant, result)
            if result.outcome is not upstream_calls.Outcome.DONE:
                self._log_call("Grant", result, service, incarnation, each)
            if result.outcome is upstream_calls.Outcome.REFUSED:
                await self._renew_fence(service, holder, each)
        finally:
            grant.task = None
        if result.outcome is not upstream_calls.Outcome.UNSENT:
            self._start_grants(service, incarnation, holder)

    def _record_result(
        self,
        incarnation: state_lib.UpstreamIncarnation,
        holder: called_upstream.CalledUpstream,
        each: messages.KeyRange,
        grant: called_upstream.Grant,
        result: upstream_calls.Result,
    ) -> None:
        """Records the outcome of a grant and sets when the next call is due."""
        now_s = self._clock.monotonic()
        grant.is_unanswered = False
        grant.due_s = now_s
        match result.outcome:
            case upstream_calls.Outcome.DONE:
                holder.record_response(now_s)
                holder.refusals = 0
                grant.due_s += self._renewal_s * (
                    1.0 - self._rng.uniform(0.0, _RENEWAL_JITTER)
                )
            case upstream_calls.Outcome.REFUSED:
                holder.record_response(now_s)
            case upstream_calls.Outcome.UNKNOWN:
                grant.is_unanswered = True
                holder.record_failure(now_s)
                until_s = self.leases.get_expiry_s(incarnation)
                holder.add_uncertainty(each, until_s, now_s)
            case upstream_calls.Outcome.UNSENT:
                holder.record_failure(now_s)
                grant.due_s += _RETRY_DELAY_S

    async def _renew_fence(
        self,
        service: str,
        holder: called_upstream.CalledUpstream,
        each: messages.KeyRange,
    ) -> None:
        """Grants keys anew: the same call would be refused again."""
        delay_s = min(
            _RETRY_DELAY_S * 2.0**holder.refusals, _MAX_REFUSAL_DELAY_S
        )
        holder.refusals += 1
        await self._clock.sleep(delay_s)
        if self._may_act():
            await self._keys.assign(service, [each])

    def _find_certain_s(
        self,
        incarnation: state_lib.UpstreamIncarnation,
        first: int,
        last: int,
    ) -> float:
        """Returns when no grant of keys without a response is left."""
        holder = self._holders.get(incarnation)
        certain_s = holder.find_certain_s(first, last) if holder else 0.0
        return max(self._certain_from_s, certain_s)

    def _start_releases(
        self,
        service: str,
        incarnation: state_lib.UpstreamIncarnation,
        holder: called_upstream.CalledUpstream,
    ) -> None:
        for each in self._keys.list_revoked(incarnation, service):
            if len(holder.releases) >= _MAX_RELEASES_IN_FLIGHT:
                return
            if each not in holder.releases:
                holder.releases[each] = self._spawn(
                    self._run_release, service, incarnation, holder, each
                )

    async def _run_release(
        self,
        service: str,
        incarnation: state_lib.UpstreamIncarnation,
        holder: called_upstream.CalledUpstream,
        each: messages.KeyRange,
    ) -> None:
        """Calls until a range is released, or its lease is over."""
        timeout_s = _RELEASE_TIMEOUT_S

        def may_send() -> bool:
            return self._may_act() and self._is_revoked(
                service, incarnation, each
            )

        try:
            while self._is_revoked(service, incarnation, each):
                # A grant in flight must not arrive after the release.
                await self._wait_for_grants(holder, each)
                result = await self._client.release(
                    holder.item, each, timeout_s, may_send
                )
                if result.outcome is upstream_calls.Outcome.DONE:
                    await self._finish_release(
                        service, incarnation, holder, each, result.handover
                    )
                    return
                self._log_call("Release", result, service, incarnation, each)
                if result.outcome is upstream_calls.Outcome.UNKNOWN:
                    timeout_s *= 2.0
                else:
                    await self._clock.sleep(_RETRY_DELAY_S)
        finally:
            del holder.releases[each]

    async def _finish_release(
        self,
        service: str,
        incarnation: state_lib.UpstreamIncarnation,
        holder: called_upstream.CalledUpstream,
        each: messages.KeyRange,
        handover: str,
    ) -> None:
        holder.record_response(self._clock.monotonic())
        certain_s = self._find_certain_s(incarnation, each.first, each.last)
        await self._clock.sleep(max(0.0, certain_s - self._clock.monotonic()))
        if self._may_act() and self._is_revoked(service, incarnation, each):
            freed = each._replace(upstream="", born_ms=0, handover=handover)
            await self._keys.free(service, incarnation, [freed])
            await self._keys.grant_reserved(service, None)
            self._start_calls(service)

    def _is_revoked(
        self,
        service: str,
        incarnation: state_lib.UpstreamIncarnation,
        each: messages.KeyRange,
    ) -> bool:
        return each in self._keys.list_revoked(incarnation, service)

    async def _wait_for_grants(
        self, holder: called_upstream.CalledUpstream, each: messages.KeyRange
    ) -> None:
        tasks = [
            grant.task
            for other, grant in holder.grants.items()
            if grant.task is not None
            and other.first <= each.last
            and each.first <= other.last
        ]
        if tasks:
            await asyncio.wait(tasks)

    async def _pass_on_replaced(self, service: str) -> None:
        """Grants the keys of replaced processes to their successors.

        A call to the former process may have reached a later one at its
        address, which then is the only upstream that may hold the keys.
        """
        successors = {
            item.address: item
            for item in self._state.upstreams.values()
            if item.service == service and not item.draining
        }
        passed_on = []
        for incarnation, holder in self._holders.items():
            successor = successors.get(holder.item.address)
            if (
                successor is not None
                and self._state.end_reasons.get(incarnation) == "replaced"
            ):
                passed_on += [
                    each._replace(
                        upstream=successor.upstream,
                        born_ms=successor.born_ms,
                        handover="",
                    )
                    for each in self._state.keys[service].list_held(
                        *incarnation
                    )
                ]
        if passed_on:
            await self._keys.assign(service, passed_on)

    def _forget_ended(self) -> None:
        self._holders = {
            incarnation: holder
            for incarnation, holder in self._holders.items()
            if self._state.is_registered(incarnation)
            or not self.leases.has_expired(incarnation)
            or holder.releases
        }
        self._client.retain(set(self._holders))

    def _spawn(
        self, run: Callable[..., Awaitable[None]], *arguments: Any
    ) -> asyncio.Task[None]:
        task = asyncio.create_task(_run_logged(run, *arguments))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _log_call(
        self,
        name: str,
        result: upstream_calls.Result,
        service: str,
        incarnation: state_lib.UpstreamIncarnation,
        each: messages.KeyRange,
    ) -> None:
        _log.info(
            "%s of keys of %s not done. Upstream: %s. Outcome: %s, %s.",
            name,
            service,
            incarnation.upstream,
            result.outcome.value,
            result.detail,
            extra={
                "service": service,
                "upstream": incarnation.upstream,
                "fence": each.fence,
                "ranges": keyranges.format_ranges([each]),
            },
        )


async def _run_logged(
    run: Callable[..., Awaitable[None]], *arguments: Any
) -> None:
    try:
        await run(*arguments)
    except errors.HandlerError as error:
        _log.warning("Keys not changed after a call: %s.", error)
    except Exception:
        _log.exception("A call to an upstream failed.")
