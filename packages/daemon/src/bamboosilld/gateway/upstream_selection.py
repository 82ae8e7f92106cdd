"""Chooses the upstream to which one request is sent.

Only the holder of a key may run a request for it. Other requests go to the
upstream with the lowest expected latency that takes requests at its rate. Cold
upstreams are used when the others do not respond in time.
"""

from bamboosill_common import clock as clock_lib
from bamboosill_common import logs
from bamboosill_common import metrics
from bamboosilld.gateway import availability as availability_lib
from bamboosilld.gateway import evacuation
from bamboosilld.gateway import latency as latency_lib
from bamboosilld.gateway import load_balancing
from bamboosilld.gateway import request_context
from bamboosilld.gateway import return_times

# Longest wait for a key to get a holder, as a fraction of the time left until
# the route's target latency or the deadline, whichever is sooner.
_KEY_HOLDER_WAIT_FRACTION = 0.6
# Longest wait for the leader's reply to a question for a permit.
_PERMIT_WAIT_S = 0.25
# Cold upstreams for which one choice asks the leader, at most.
_MAX_COLD_QUESTIONS = 3
# Multiples of the route's target latency beyond which a request is refused, by
# priority from the most urgent. Under overload, low priorities go first.
_LATENCY_FACTOR_BY_PRIORITY = (1.6, 1.4, 1.0)

_UPSTREAM_FULL = "upstream is full"
_UPSTREAMS_FULL = "all upstreams are full"
_TOO_SLOW = "upstreams are too slow now"
# Reasons of refusals for lack of room.
_ROOM_REASONS = frozenset((_UPSTREAM_FULL, _UPSTREAMS_FULL, _TOO_SLOW))

_log = logs.get_logger("gateway")


def make_log_fields(
    routed: request_context.RoutedRequest,
    upstream: load_balancing.Upstream,
    clock: clock_lib.Clock,
) -> dict[str, object]:
    """Returns the log fields of a request and an upstream."""
    return {
        "request": routed.request_id.decode("latin-1"),
        "upstream": upstream.item.upstream,
        "load": round(upstream.estimate_load(), 1),
        "load_age_ms": upstream.get_load_age_ms(),
        "slots": upstream.slots,
        "left_ms": int((routed.deadline_s - clock.monotonic()) * 1000),
    }


class UpstreamSelector:
    """Chooses upstreams for one request, and remembers which have failed.

    Attributes:
        failed: Ids of upstreams to which an attempt has failed.
        reason: Why none was chosen, or why the last attempt failed.
        retry_after_s: Seconds after which a permit or a slot is expected for
            the caller, or 0 if that is not known.
    """

    def __init__(
        self,
        routed: request_context.RoutedRequest,
        context: request_context.SendContext,
        latency: latency_lib.Latency,
        entry_count: int,
    ) -> None:
        self._routed = routed
        self._context = context
        self._route_latency = latency
        self._entry_count = entry_count
        self.failed: set[str] = set()
        # Grants whose holder has rejected the key.
        self._rejected_grants: set[tuple[str, int]] = set()
        self.reason = "no upstream"
        self.retry_after_s = 0.0

    async def wait_for_upstream(self) -> load_balancing.Upstream | None:
        """Returns the upstream to send to; waits for the holder of a key.

        If there is none, sets the reason and when the caller is to return.
        """
        upstream = await self._find_upstream()
        if upstream is None and self.reason in _ROOM_REASONS:
            self._tell_return_time()
        return upstream

    async def _find_upstream(self) -> load_balancing.Upstream | None:
        routed, view = self._routed, self._context.view
        if routed.key == request_context.NO_KEY:
            return await self._choose_permitted(self.failed)
        target_s = routed.route.target_latency_ms / 1000
        target_remaining_s = (
            routed.received_s + target_s - self._context.clock.monotonic()
        )
        wait_s = max(
            0.0,
            min(target_remaining_s, self._get_remaining_s())
            * _KEY_HOLDER_WAIT_FRACTION,
        )
        await view.changed.wait_until(
            lambda: (
                self.find_holder() is not None
                or self._find_obstacle_of_holder() is not None
            ),
            wait_s,
        )
        obstacle = self._find_obstacle_of_holder()
        if obstacle is not None:
            self.reason, self.retry_after_s = (
                obstacle.reason,
                obstacle.ends_in_s,
            )
            return None
        holder = self.find_holder()
        if holder is None:
            self.reason = "key has no holder"
            return None
        if holder.is_unreachable():
            # A new connection attempt would only time out at the deadline.
            self.reason = "key's holder does not answer"
            return None
        if not self._is_fast_enough(holder):
            return None
        if await self._acquire_permit(holder):
            return holder
        self._refuse_for_limit([holder])
        return None

    def _tell_return_time(self) -> None:
        routed, pool = self._routed, self._find_pool()
        room = self._measure_room()
        self.retry_after_s = self._context.return_times.tell(
            pool,
            return_times.Caller(
                routed.route.priority,
                self._get_remaining_s(),
                routed.route.target_latency_ms / 1000,
            ),
            room,
        )
        _log.info(
            "Caller told to return. Reason: %s. Seconds: %.2f.",
            self.reason,
            self.retry_after_s,
            extra={
                "request": routed.request_id.decode("latin-1"),
                "pool": "/".join(pool),
                "excess": round(room.excess, 1) if room else None,
                "rate_per_s": round(room.rate_per_s, 1) if room else None,
            },
        )

    def _find_pool(self) -> tuple[str, str]:
        """Returns the service and, of a sharded one, the key's holder."""
        if self._routed.key == request_context.NO_KEY:
            return self._routed.service, ""
        holder = self.find_holder()
        return self._routed.service, holder.item.upstream if holder else ""

    def _measure_room(self) -> return_times.Room | None:
        """Returns the load of the upstreams that can serve the request."""
        routed = self._routed
        if routed.key == request_context.NO_KEY:
            upstreams = [
                each
                for each in self._context.view.list_upstreams(routed.service)
                if each.availability.find_obstacle() is None
            ]
        else:
            holder = self.find_holder()
            upstreams = [holder] if holder is not None else []
        return return_times.measure_room(
            upstreams,
            self._context.return_times.get_mean_latency(routed.service),
            self._entry_count,
        )

    async def _acquire_permit(self, upstream: load_balancing.Upstream) -> bool:
        timeout_s = max(0.0, min(_PERMIT_WAIT_S, self._get_remaining_s()))
        return await self._context.permits.acquire(upstream, timeout_s)

    def _refuse_for_limit(
        self, upstreams: list[load_balancing.Upstream]
    ) -> None:
        """Sets the outcome of a request that no upstream takes at this rate.

        Args:
            upstreams: Upstreams with a rate limit and no permit. The first one
                is that which was asked for.
        """
        now_s = self._context.clock.monotonic()
        known = [
            each for each in upstreams if each.rate_limit.next_permit_s > now_s
        ]
        first = min(
            known or upstreams[:1],
            key=lambda each: each.rate_limit.next_permit_s,
        )
        if first.rate_limit.is_cold:
            metrics.gateway_cold_requests.labels("refused").inc()
        self.reason = "rate limit of upstream"
        self.retry_after_s = first.rate_limit.tell_retry_after()

    def find_holder(self) -> load_balancing.Upstream | None:
        """Returns the key's holder, unless it rejected this request's key.

        The fence identifies the grant: after a new grant, the same upstream
        is tried again. A holder that takes no more requests because its zone is
        evacuated counts as none, as the key gets another one.
        """
        routed = self._routed
        holder = self._context.view.find_holder(routed.service, routed.key)
        if holder is None or self._has_rejected_key(holder):
            return None
        obstacle = holder.availability.find_obstacle(is_holder=True)
        if obstacle is not None and obstacle.is_evacuation:
            return None
        return holder

    def _find_obstacle_of_holder(self) -> availability_lib.Obstacle | None:
        """Returns why the key is not served now and not soon, or None.

        Its holder takes no request now, or it has none and all upstreams that
        could hold it are in evacuated zones.
        """
        routed, view = self._routed, self._context.view
        holder = view.find_holder(routed.service, routed.key)
        if holder is not None:
            obstacle = holder.availability.find_obstacle(is_holder=True)
            if obstacle is not None and not obstacle.is_evacuation:
                return obstacle
        if self.find_holder() is None and evacuation.are_evacuated(
            view.list_upstreams(routed.service)
        ):
            return availability_lib.EVACUATED
        return None

    def _has_rejected_key(self, holder: load_balancing.Upstream) -> bool:
        routed = self._routed
        fence = self._context.view.get_fence(routed.service, routed.key)
        return (holder.item.upstream, fence) in self._rejected_grants

    async def _choose_permitted(
        self, excluded: set[str]
    ) -> load_balancing.Upstream | None:
        """Returns an upstream that takes a request now.

        Asks for a permit at most once: meanwhile, other upstreams can serve.
        """
        candidates = self._list_available()
        if any(each.rate_limit.is_cold for each in candidates):
            return await self._choose_beside_cold(candidates, excluded)
        chosen = self._choose_from(
            _list_due(candidates) or candidates, excluded
        )
        if chosen is None or await self._acquire_permit(chosen):
            return chosen
        candidates = self._list_available()
        if not any(each.rate_limit.has_permit() for each in candidates):
            self._refuse_for_limit([chosen, *candidates])
            return None
        return self.choose_permitted_now(excluded)

    async def _choose_beside_cold(
        self, candidates: list[load_balancing.Upstream], excluded: set[str]
    ) -> load_balancing.Upstream | None:
        """Returns an upstream that takes a request now; some are cold.

        Those that need no permit come first if they meet the target latency.
        """
        free = self._choose_from(_list_free(candidates), excluded)
        if (
            free is not None
            and free.item.upstream not in excluded
            and self._meets_target(free)
        ):
            return free
        ends_s = self._context.clock.monotonic() + _PERMIT_WAIT_S
        asked = set(excluded)
        for _ in range(_MAX_COLD_QUESTIONS):
            upstream = self._choose_from(
                _list_first_to_ask(candidates, asked), asked
            )
            if upstream is None:
                break
            if await self._acquire_permit(upstream):
                return upstream
            asked.add(upstream.item.upstream)
            if self._context.clock.monotonic() >= ends_s:
                break
            candidates = self._list_available()
        if not any(each.rate_limit.has_permit() for each in candidates):
            if candidates:
                self._refuse_for_limit(candidates)
            return None
        return self.choose_permitted_now(excluded)

    def choose_permitted_now(
        self, excluded: set[str]
    ) -> load_balancing.Upstream | None:
        """Returns an upstream that needs no permit or has one, or None.

        Args:
            excluded: Ids of upstreams that are chosen only if there are no
                others.
        """
        candidates = self._list_available()
        permitted = [
            each for each in candidates if each.rate_limit.has_permit()
        ]
        if any(each.rate_limit.is_cold for each in permitted):
            chosen = self._choose_from(_list_free(permitted), excluded)
            if chosen is not None:
                return chosen
        return self._choose_from(permitted, excluded)

    def _list_available(self) -> list[load_balancing.Upstream]:
        """Returns the upstreams of the service that take requests now.

        If there is none, the obstacle that ends first is the reason.
        """
        upstreams = self._context.view.list_upstreams(self._routed.service)
        obstacles = [each.availability.find_obstacle() for each in upstreams]
        available = [
            upstream
            for upstream, obstacle in zip(upstreams, obstacles, strict=True)
            if obstacle is None
        ]
        if not available:
            known = [each for each in obstacles if each is not None]
            first = min(
                known,
                key=lambda each: each.ends_in_s or float("inf"),
                default=availability_lib.Obstacle("none"),
            )
            self.reason, self.retry_after_s = first.reason, first.ends_in_s
        return available

    def _choose_from(
        self, candidates: list[load_balancing.Upstream], excluded: set[str]
    ) -> load_balancing.Upstream | None:
        """Returns the upstream with the lowest cost if it is fast enough."""
        untried = [
            each for each in candidates if each.item.upstream not in excluded
        ]
        chosen = load_balancing.choose(
            untried or candidates,
            self._context.zone,
            self._context.rng,
            self._entry_count,
        )
        if chosen is None:
            if candidates:
                self.reason = _UPSTREAMS_FULL
            return None
        return chosen if self._is_fast_enough(chosen) else None

    def _meets_target(self, upstream: load_balancing.Upstream) -> bool:
        """Returns whether a response is expected within the target latency."""
        elapsed_s = self._context.clock.monotonic() - self._routed.received_s
        latency_s = upstream.estimate_latency(self._route_latency.mean_s)
        has_queue = upstream.estimate_load() >= upstream.slots
        target_s = self._routed.route.target_latency_ms / 1000
        return not has_queue or elapsed_s + latency_s <= target_s

    def _is_fast_enough(self, upstream: load_balancing.Upstream) -> bool:
        """Returns whether the upstream is expected to respond in time."""
        route = self._routed.route
        rank = min(route.priority, len(_LATENCY_FACTOR_BY_PRIORITY) - 1)
        limit_s = (
            route.target_latency_ms / 1000 * _LATENCY_FACTOR_BY_PRIORITY[rank]
        )
        elapsed_s = self._context.clock.monotonic() - self._routed.received_s
        latency_s = upstream.estimate_latency(self._route_latency.mean_s)
        has_queue = upstream.estimate_load() >= upstream.slots
        if upstream.is_full():
            self.reason = _UPSTREAM_FULL
        elif has_queue and elapsed_s + latency_s > limit_s:
            self.reason = _TOO_SLOW
        else:
            return True
        _log.info(
            "Upstream not used. Upstream: %s. Reason: %s.",
            upstream.item.upstream,
            self.reason,
            extra={
                **make_log_fields(self._routed, upstream, self._context.clock),
                "pace": round(upstream.relative_latency, 2),
                "expected_ms": int(latency_s * 1000),
                "limit_ms": int(limit_s * 1000),
            },
        )
        return False

    def record_failure(
        self, upstream: load_balancing.Upstream, reason: str, is_rejection: bool
    ) -> None:
        """Records a failed attempt, for the choice of the next upstream."""
        routed = self._routed
        self.reason = reason
        self.failed.add(upstream.item.upstream)
        if is_rejection and routed.key != request_context.NO_KEY:
            fence = self._context.view.get_fence(routed.service, routed.key)
            self._rejected_grants.add((upstream.item.upstream, fence))

    def _get_remaining_s(self) -> float:
        return self._routed.deadline_s - self._context.clock.monotonic()


def _list_due(
    upstreams: list[load_balancing.Upstream],
) -> list[load_balancing.Upstream]:
    """Returns the upstreams for whose permits refused callers return now.

    Returns none if an upstream takes requests without asking.
    """
    if any(each.rate_limit.has_permit() for each in upstreams):
        return []
    return [each for each in upstreams if each.rate_limit.is_caller_due]


def _list_free(
    upstreams: list[load_balancing.Upstream],
) -> list[load_balancing.Upstream]:
    """Returns the upstreams that need no permit."""
    return [each for each in upstreams if each.rate_limit.rate_per_s is None]


def _list_first_to_ask(
    upstreams: list[load_balancing.Upstream], excluded: set[str]
) -> list[load_balancing.Upstream]:
    """Returns the limited upstreams to try first.

    These are the ones with a permit, then those for whose permits refused
    callers return now, then those that the leader may have a permit for.
    """
    limited = [
        each
        for each in upstreams
        if each.rate_limit.rate_per_s is not None
        and each.item.upstream not in excluded
    ]
    return (
        [each for each in limited if each.rate_limit.has_permit()]
        or [each for each in limited if each.rate_limit.is_caller_due]
        or [each for each in limited if each.rate_limit.can_ask]
    )
