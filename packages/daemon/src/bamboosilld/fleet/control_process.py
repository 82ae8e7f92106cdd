"""Runs the process of a control instance."""

from collections.abc import Callable
from typing import NamedTuple

from bamboosill_common import logs
from bamboosilld.fleet import control as control_lib
from bamboosilld.fleet import process as process_lib
from bamboosilld.fleet import settings as settings_lib
from bamboosilld.fleet import upstream_calls
from bamboosilld.gateway import listener as listener_lib
from bamboosilld.gateway import metrics as metrics_lib

# A document takes many times its size once it is parsed.
_MAX_API_BODY_BYTES = 8 * 1024 * 1024

_log = logs.get_logger("control")


class ControlSettings(NamedTuple):
    """Addresses of a control instance, and what its API offers.

    Attributes:
        api_address: Listen address of the API for operators and upstreams.
        metrics_port: Port of the metrics on the same host; 0 for none.
        evacuable_zones: Availability zones that operators can evacuate.
    """

    api_address: str
    metrics_port: int
    evacuable_zones: frozenset[str] = frozenset()


MakeApi = Callable[[control_lib.ControlMember], listener_lib.Handler]


def run(
    settings: settings_lib.FleetSettings,
    control: ControlSettings,
    make_api: MakeApi,
    call_format: upstream_calls.CallFormat,
    read: process_lib.ReadSettings,
) -> int:
    """Runs a control instance and returns its exit code.

    Args:
        settings: Settings that all processes of a fleet have.
        control: Addresses to listen on.
        make_api: Creates the handler of requests to the API.
        call_format: Format of calls to upstreams.
        read: Reads the settings again; returns None if they are not valid.
    """

    async def main() -> int:
        process = process_lib.Process(settings, read)
        member = control_lib.ControlMember(
            settings,
            process.directory,
            process.handlers,
            process.clock,
            process.timeline,
            process.list_control_peers,
            call_format,
        )
        await process.start(serves_peers=True)
        await member.start()
        metrics_lib.register_fleet_gauges(lambda: member.state)
        host, _, port = control.api_address.rpartition(":")
        api = listener_lib.Listener(make_api(member))
        api.limits = listener_lib.Limits(max_body_bytes=_MAX_API_BODY_BYTES)
        await api.start(host, int(port))
        if control.metrics_port:
            metrics = listener_lib.Listener(metrics_lib.handle)
            await metrics.start(host, control.metrics_port)
        await process.stopping.wait()
        _log.info("Stopping.")
        api.stop_accepting()
        await member.stop()
        await process.stop()
        return 0

    return process_lib.run(main())
