"""Command line of the stand-in upstream."""

import argparse
from typing import NamedTuple


class Options(NamedTuple):
    """Settings of one stand-in upstream.

    Attributes:
        id: Id, the same across restarts.
        service: Service that it provides.
        zone: Availability zone.
        listen: Address for requests, as IP:port.
        entries: Addresses of the entry instances for upstreams, as IP:port.
        slots: Number of requests that run at the same time.
        connections: Number of connections that it announces as its limit.
        checks_fences: Whether it refuses requests with a stale fence.
        accepts_cancellation: Whether it cancels running requests on demand.
        accepts_deadlines: Whether it refuses requests after their deadline.
        service_ms: Service time of a request, in milliseconds.
        cold_s: Warm-up time after the start, in seconds.
        cold_factor: Factor on the service time during the warm-up.
        start_delay_s: Seconds before the first announcement.
        connect_ms: Additional time of the first request on a connection.
        drain_limit_s: Time limit of a graceful stop, in seconds.
        record: File to which executed requests are appended as JSON lines,
            or empty to keep them in memory.
        token: Bearer token for announcements.
        key_file: File of signing keys, which takes precedence over a token.
        poison: Text in a request body that makes the process crash.
    """

    id: str = "u1"
    service: str = "shopfront"
    zone: str = "z1"
    listen: str = "127.0.0.1:0"
    entries: tuple[str, ...] = ()
    slots: int = 6
    connections: int = 110
    checks_fences: bool = True
    accepts_cancellation: bool = True
    accepts_deadlines: bool = True
    service_ms: float = 1.0
    cold_s: float = 0.0
    cold_factor: float = 5.0
    start_delay_s: float = 0.0
    connect_ms: float = 0.0
    drain_limit_s: float = 30.0
    record: str = ""
    token: str = ""
    key_file: str = ""
    poison: str = "poison"


def parse_options(arguments: list[str] | None = None) -> Options:
    """Returns the options on the command line."""
    default = Options()
    parser = argparse.ArgumentParser(
        prog="bamboosill_dev.upstream", description=__doc__
    )
    for name in ("id", "service", "zone"):
        parser.add_argument(f"--{name}", required=True)
    for name in ("listen", "record", "token", "key-file", "poison"):
        parser.add_argument(
            f"--{name}", default=getattr(default, name.replace("-", "_"))
        )
    parser.add_argument("--entries", default="")
    for name in ("slots", "connections"):
        parser.add_argument(
            f"--{name}", type=int, default=getattr(default, name)
        )
    for name in (
        "service-ms",
        "cold-s",
        "cold-factor",
        "start-delay-s",
        "connect-ms",
        "drain-limit-s",
    ):
        value = getattr(default, name.replace("-", "_"))
        parser.add_argument(f"--{name}", type=float, default=value)
    for flag, name in (
        ("--no-fences", "checks_fences"),
        ("--no-cancellation", "accepts_cancellation"),
        ("--no-deadlines", "accepts_deadlines"),
    ):
        parser.add_argument(flag, dest=name, action="store_false")
    values = vars(parser.parse_args(arguments))
    values["entries"] = tuple(
        address.strip()
        for address in values["entries"].split(",")
        if address.strip()
    )
    return Options(**values)
