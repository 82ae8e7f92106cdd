"""Decides which keys a heartbeat of their holder frees.

An upstream reports keys as released until a heartbeat is acknowledged, and
names no fence. A report may therefore be about an earlier hold of keys that
were granted to the upstream again.
"""

from collections.abc import Iterable
from typing import NamedTuple

from bamboosill_common.generated import fleet as messages
from bamboosilld.fleet import keyranges
from bamboosilld.fleet import state as state_lib


class Releases(NamedTuple):
    """Ranges that a heartbeat reports as released, without a new holder.

    Attributes:
        freed: Ranges that their holder had reported as held under the present
            fence, and no longer does.
        unconfirmed: Ranges that it may not yet have, so that the release may be
            about an earlier hold.
    """

    freed: list[messages.KeyRange]
    unconfirmed: list[messages.KeyRange]


def find_releases(
    table: keyranges.Table,
    incarnation: state_lib.UpstreamIncarnation,
    report: messages.UpstreamReport,
    earlier_holds: Iterable[messages.KeyRange],
) -> Releases:
    """Returns the ranges that a heartbeat releases.

    Args:
        table: Holders of the service's keys.
        incarnation: Sender of the heartbeat.
        report: The heartbeat.
        earlier_holds: What its last heartbeat reported as held or in use.
    """
    releases = Releases([], [])
    for released in report.released:
        for part in table.intersect(released.first, released.last):
            if (part.upstream, part.born_ms) != incarnation:
                continue
            confirming = [
                each for each in earlier_holds if each.fence == part.fence
            ]
            ended = _subtract_all([part], report.holds)
            unconfirmed = _subtract_all(ended, confirming)
            freed = _subtract_all(ended, unconfirmed)
            releases.unconfirmed.extend(unconfirmed)
            releases.freed.extend(
                each._replace(
                    upstream="", born_ms=0, handover=released.handover
                )
                for each in freed
            )
    return releases


def _subtract_all(
    ranges: list[messages.KeyRange], removed: Iterable[messages.KeyRange]
) -> list[messages.KeyRange]:
    for each in removed:
        ranges = [
            part
            for whole in ranges
            for part in keyranges.subtract(whole, each.first, each.last)
        ]
    return ranges
