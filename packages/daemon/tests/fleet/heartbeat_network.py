"""Simulated upstreams that are granted keys in the replies to heartbeats."""

import asyncio

from bamboosill_common.generated import fleet as messages
from bamboosill_dev.fleetsoak import held_keys
from bamboosilld.fleet import keyranges

from . import call_network


class HeartbeatFleet(call_network.CallFleet):
    """A leader and its upstreams, in virtual time, without calls of keys."""

    grants = "heartbeat"

    async def _run_heartbeats(self, upstream):
        released = []
        while upstream.is_up:
            self.sequence += 1
            # A lease counts from when the heartbeat was sent.
            end_s = asyncio.get_running_loop().time() + call_network.LEASE_S
            reply = await self.authority.handle_report(
                messages.UpstreamReport(
                    upstream.item,
                    self.sequence,
                    tuple(
                        messages.KeyRange(each.first, each.last, each.fence)
                        for each in upstream.list_held()
                    ),
                    tuple(released),
                )
            )
            if reply.renewed:
                released = _apply_reply(upstream, reply.grants, end_s)
                for each in released:
                    await upstream.wait_for_runs(each.first, each.last)
            if not released:
                await asyncio.sleep(call_network.HEARTBEAT_S)
            else:
                # It reports a release at once.
                await asyncio.sleep(0.01)


def _apply_reply(upstream, grants, end_s):
    """Holds what a reply lists, and returns what it no longer lists."""
    released = keyranges.subtract_all(upstream.list_held(), grants)
    for each in released:
        upstream.keys.release(each.first, each.last, each.fence)
    for each in grants:
        upstream.keys.grant(
            held_keys.HeldRange(each.first, each.last, each.fence, end_s)
        )
    return [
        messages.ReleasedRange(each.first, each.last, "token")
        for each in released
    ]
