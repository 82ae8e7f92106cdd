"""Command line of the stand-in."""

import argparse
from typing import NamedTuple


class Options(NamedTuple):
    """How one upstream behaves.

    Attributes:
        id: Identity, kept across restarts.
        service: Service it runs.
        zone: Availability zone.
        listen: IP:port for requests.
        entries: IP:port of the entry instances' upstream addresses.
        slots: Requests it runs at a time.
        connections: Connections it accepts.
        checks_fences: Whether it checks fences.
        accepts_cancellation: Whether it accepts cancellations.
        accepts_deadlines: Whether it gives up at deadlines.
        service_ms: Time that a request takes, in milliseconds.
        cold_s: Seconds after the start during which it is cold.
        cold_factor: Factor on the service time while cold.
        start_delay_s: Seconds before the first announcement.
        connect_ms: Delay of the first request on a connection.
        drain_limit_s: Longest time to stop.
        record: File of JSON lines, or empty.
        token: Bearer token for announcements.
        key_file: File of signing keys, used instead of a token.
        poison: Body that makes the process exit at once.
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
        part.strip() for part in values["entries"].split(",") if part.strip()
    )
    return Options(**values)
