"""What the admin application needs of the other parts of an instance."""

from collections.abc import Callable
from typing import Any
from typing import NamedTuple
from typing import Protocol

import aiohttp
from aiohttp import web
from returns.result import Result

from bamboosill_common import auth
from bamboosill_common import clock as clock_lib
from bamboosill_common import events
from bamboosill_common.generated import zone as zone_messages
from bamboosilld.control import service as control_service


class ZoneMember(Protocol):
    """This instance's part in its zone, as operators see it."""

    def upstreams(self) -> tuple[zone_messages.Upstream, ...]:
        """Returns the upstreams of the zone."""

    async def drain_upstream(self, upstream_id: str) -> Result[Any, Any]:
        """Moves all work away from an upstream."""

    async def explain(
        self, customer: str, service: str, key: str
    ) -> Result[dict[str, Any], Any]:
        """Returns what the zone leader knows of a key."""


class Parts(NamedTuple):
    """What the application is made of.

    Attributes:
        instance: Name of this instance.
        check_readiness: Returns the reasons why this instance is not ready.
        member: The zone part, or None.
        control: The control part, or None on instances without the role.
        session: For calls to other instances.
        scheme: Scheme of other instances' admin ports.
    """

    instance: str
    authenticator: auth.Authenticator
    clock: clock_lib.Clock
    timeline: events.Timeline
    check_readiness: Callable[[], tuple[str, ...]]
    member: ZoneMember | None
    control: control_service.ControlService | None
    session: aiohttp.ClientSession
    scheme: str = "http"


PARTS = web.AppKey("parts", Parts)
