"""Joins the log lines of several processes around one request."""

import argparse
from collections.abc import Iterable
from collections.abc import Iterator
import datetime
import json
import pathlib
import sys
from typing import Any

from bamboosill import exits
from bamboosill import output
from bamboosill import registry

# Lines about the request's keys and upstreams from this long before it.
_BEFORE_S = 15.0
_SHOWN = (
    *("status", "route", "service", "key", "upstream", "load", "load_age_ms"),
    *("slots", "took_ms", "left_ms", "version", "revision", "synced_ms_ago"),
    "ranges",
)

Line = dict[str, Any]


def _add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "files", nargs="*", help="Log files of instances; none: standard input."
    )
    parser.add_argument("--request", help="Id of a request.")
    parser.add_argument("--upstream", help="Id of an upstream.")
    parser.add_argument("--key", type=int, help="Number of a key.")
    parser.add_argument(
        "--since", type=float, default=0.0, help="Only lines from this time on."
    )
    parser.add_argument(
        "--until", type=float, default=1e12, help="Only lines to this time."
    )


@registry.register(
    "logs explain",
    "Show the log lines that belong to a request, key or upstream.",
    _add_arguments,
)
async def run(context: registry.Context) -> int:
    """Prints the lines of all files in the order of their times."""
    flags = context.flags
    lines = sorted(
        _read_all(flags.files), key=lambda line: float(line.get("time", 0))
    )
    found = list(_select(lines, flags))
    if not found:
        context.warn("no line belongs to it")
        return exits.REFUSED
    return output.print_rows(
        context,
        {"lines": found},
        (
            (
                _format_time(float(line.get("time", 0))),
                line.get("instance", ""),
                line.get("message", ""),
                " ".join(
                    f"{name}={line[name]}" for name in _SHOWN if name in line
                ),
            )
            for line in found
        ),
        ("time", "instance", "message", "inputs"),
    )


def _format_time(time_s: float) -> str:
    moment = datetime.datetime.fromtimestamp(time_s, datetime.UTC)
    return moment.strftime("%H:%M:%S.%f")[:-3]


def _read_all(files: list[str]) -> Iterator[Line]:
    if not files:
        yield from _parse(sys.stdin)
    for name in files:
        with pathlib.Path(name).open(errors="replace") as file:
            yield from _parse(file)


def _parse(texts: Iterable[str]) -> Iterator[Line]:
    for text in texts:
        # A collector may have put a time and a name before the line.
        start = text.find("{")
        try:
            line = json.loads(text[start:]) if start >= 0 else None
        except ValueError:
            continue
        if isinstance(line, dict) and "message" in line:
            yield line


def _select(lines: list[Line], flags: argparse.Namespace) -> Iterator[Line]:
    own = []
    if flags.request:
        own = [line for line in lines if line.get("request") == flags.request]
    upstreams = {flags.upstream, *(line.get("upstream") for line in own)}
    keys = {flags.key, *(line.get("key") for line in own)} - {None, -1}
    upstreams -= {None, ""}
    since, until = flags.since, flags.until
    if own:
        times = [float(line["time"]) for line in own]
        since, until = min(times) - _BEFORE_S, max(times)
    for line in lines:
        if not since <= float(line.get("time", 0)) <= until:
            continue
        is_own = flags.request and line.get("request") == flags.request
        is_state = "request" not in line or not flags.request
        about = line.get("upstream") in upstreams or _has_key(line, keys)
        if is_own or (is_state and about):
            yield line


def _has_key(line: Line, keys: set[Any]) -> bool:
    if line.get("key") in keys:
        return True
    for part in str(line.get("ranges", "")).split():
        first, _, last = part.partition("-")
        if any(int(first) <= key <= int(last) for key in keys):
            return True
    return False
