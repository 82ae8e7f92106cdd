"""Interfaces between the admin application and the rest of an instance."""

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


class ZoneOperations(Protocol):
    """The operations of this instance's zone membership that operators use."""

    def list_upstreams(self) -> tuple[zone_messages.Upstream, ...]:
        """Returns the upstreams of the zone."""

    async def drain_upstream(self, upstream_id: str) -> Result[Any, Any]:
        """Stops routing to an upstream and moves its work to others."""

    async def explain_key(
        self, customer: str, service: str, key: str
    ) -> Result[dict[str, Any], Any]:
        """Returns the zone leader's routing state of a key."""


class AdminDependencies(NamedTuple):
    """Components that the admin request handlers work with.

    Attributes:
        instance: Id of this instance.
        check_readiness: Returns the reasons why this instance is not ready.
        member: This instance's membership in its zone, or None.
        control: The control service, or None on instances without that role.
        session: HTTP session for requests to other instances' admin ports.
        scheme: URL scheme of other instances' admin ports.
    """

    instance: str
    authenticator: auth.Authenticator
    clock: clock_lib.Clock
    timeline: events.Timeline
    check_readiness: Callable[[], tuple[str, ...]]
    member: ZoneOperations | None
    control: control_service.ControlService | None
    session: aiohttp.ClientSession
    scheme: str = "http"


DEPENDENCIES = web.AppKey("parts", AdminDependencies)
