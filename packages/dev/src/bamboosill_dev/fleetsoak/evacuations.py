"""The operator of a soak run who evacuates an availability zone.

From the bound after an acknowledged order until the withdrawal is sent, no
upstream of the zone may get a request that it does not answer with 421.
"""

import asyncio
import random
import time

import aiohttp

from bamboosill_dev.fleetsoak import upstream as upstream_lib

ZONE = "z2"
# Senders repeat an order for this long.
_ORDER_S = 4.0
_RETRY_DELAY_S = 0.2
_BOUND_S = 5.0
# How long the zone stays evacuated after the bound, and in use after that.
_EVACUATED_S = 2.0
_IN_USE_S = 2.0


class Evacuations:
    """Orders and withdraws the evacuation of a zone in turn.

    Attributes:
        acknowledged: Number of orders that were acknowledged.
    """

    def __init__(
        self,
        control: list[str],
        upstreams: list[upstream_lib.Upstream],
        record: upstream_lib.Record,
        rng: random.Random,
    ) -> None:
        """Initializes the instance.

        Args:
            control: Addresses of the control instances.
            upstreams: The upstreams of the zone.
            record: Gets the violations.
            rng: Source of randomness.
        """
        self._control = control
        self._upstreams = upstreams
        self._record = record
        self._rng = rng
        self.acknowledged = 0

    async def run(self, session: aiohttp.ClientSession, end_s: float) -> None:
        """Evacuates the zone again and again until a monotonic time.

        Returns once the last order was withdrawn.
        """
        while time.monotonic() < end_s:
            if await self._order(session, "POST"):
                self.acknowledged += 1
                late_s = time.monotonic() + _BOUND_S
                await asyncio.sleep(_BOUND_S + _EVACUATED_S)
                self._check(late_s)
            await self._order(session, "DELETE")
            await asyncio.sleep(_IN_USE_S)

    async def _order(self, session: aiohttp.ClientSession, method: str) -> bool:
        """Repeats an order; returns whether it was acknowledged."""
        deadline_s = time.monotonic() + _ORDER_S
        while time.monotonic() < deadline_s:
            address = self._rng.choice(self._control)
            url = f"http://{address}/v1/evacuation/{ZONE}"
            try:
                async with session.request(method, url) as answer:
                    if answer.status == 200:
                        return True
                    if answer.status != 503:
                        self._record.violations.append(
                            f"{method} of an evacuation got {answer.status}"
                        )
            except (aiohttp.ClientError, TimeoutError):
                # Its process may have been stopped by the run.
                pass
            await asyncio.sleep(_RETRY_DELAY_S)
        return False

    def _check(self, late_s: float) -> None:
        for upstream in self._upstreams:
            count = sum(each >= late_s for each in upstream.arrivals_s)
            if count:
                self._record.violations.append(
                    f"{upstream.name} got {count} requests while its zone was "
                    "evacuated"
                )
