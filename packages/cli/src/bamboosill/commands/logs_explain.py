"""Merges log lines of several processes that concern one request.

Selects lines by the id of a request, an upstream or a key. For a request, the
lines about its keys and upstreams shortly before it are shown as well, because
the cause of a failure is often in the log of another process.
"""

import argparse
from collections.abc import Iterable
from collections.abc import Iterator
import datetime
import json
import pathlib
import sys
from typing import Any

from bamboosill import command_registry
from bamboosill import exit_codes
from bamboosill import output

# How long before a request lines about its keys and upstreams are included.
_CONTEXT_BEFORE_S = 15.0
_SHOWN_FIELDS = (
    *("status", "route", "service", "key", "upstream", "load", "load_age_ms"),
    *("slots", "took_ms", "left_ms", "version", "revision", "synced_ms_ago"),
    *("ranges", "fence"),
)

LogLine = dict[str, Any]


def _add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "files",
        nargs="*",
        help="Log files of instances; without any, standard input is read.",
    )
    parser.add_argument("--request", help="Id of a request.")
    parser.add_argument("--upstream", help="Id of an upstream.")
    parser.add_argument("--key", type=int, help="Number of a key.")
    parser.add_argument(
        "--since",
        type=float,
        default=0.0,
        help="Only lines at or after this Unix time, in seconds.",
    )
    parser.add_argument(
        "--until",
        type=float,
        default=1e12,
        help="Only lines up to this Unix time, in seconds.",
    )


@command_registry.register(
    "logs explain",
    "Show the log lines that belong to a request, key or upstream.",
    _add_arguments,
)
async def run(context: command_registry.Context) -> int:
    """Prints the selected lines of all files, ordered by time."""
    flags = context.flags
    try:
        lines = sorted(
            _read_files(flags.files), key=lambda line: float(line["time"])
        )
    except OSError as error:
        context.warn(f"{error.filename}: {error.strerror}")
        return exit_codes.USAGE
    selected = list(_select_lines(lines, flags))
    if not selected:
        context.warn("no line belongs to it")
        return exit_codes.REFUSED
    return output.print_rows(
        context,
        {"lines": selected},
        (
            (
                _format_time(float(line.get("time", 0))),
                line.get("instance", ""),
                line.get("message", ""),
                " ".join(
                    f"{name}={line[name]}"
                    for name in _SHOWN_FIELDS
                    if name in line
                ),
            )
            for line in selected
        ),
        ("time", "instance", "message", "inputs"),
    )


def _format_time(time_s: float) -> str:
    moment = datetime.datetime.fromtimestamp(time_s, datetime.UTC)
    return moment.strftime("%H:%M:%S.%f")[:-3]


def _read_files(files: list[str]) -> Iterator[LogLine]:
    if not files:
        yield from _parse_lines(sys.stdin)
    for name in files:
        with pathlib.Path(name).open(errors="replace") as file:
            yield from _parse_lines(file)


def _parse_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    for text in texts:
        # A log collector may have prefixed the line with a time and a name.
        start = text.find("{")
        try:
            line = json.loads(text[start:]) if start >= 0 else None
        except ValueError:
            continue
        if (
            isinstance(line, dict)
            and "message" in line
            and isinstance(line.setdefault("time", 0), int | float)
        ):
            yield line


def _select_lines(
    lines: list[LogLine], flags: argparse.Namespace
) -> Iterator[LogLine]:
    request_lines = []
    if flags.request:
        request_lines = [
            line for line in lines if line.get("request") == flags.request
        ]
    upstreams = {
        flags.upstream,
        *(line.get("upstream") for line in request_lines),
    }
    keys = {flags.key, *(line.get("key") for line in request_lines)} - {
        None,
        -1,
    }
    upstreams -= {None, ""}
    since, until = flags.since, flags.until
    if request_lines:
        times = [float(line["time"]) for line in request_lines]
        since, until = min(times) - _CONTEXT_BEFORE_S, max(times)
    for line in lines:
        if not since <= float(line.get("time", 0)) <= until:
            continue
        is_request_line = flags.request and line.get("request") == flags.request
        is_context_line = "request" not in line or not flags.request
        matches_subject = line.get("upstream") in upstreams or _matches_key(
            line, keys
        )
        if is_request_line or (is_context_line and matches_subject):
            yield line


def _matches_key(line: LogLine, keys: set[Any]) -> bool:
    if line.get("key") in keys:
        return True
    for key_range in str(line.get("ranges", "")).split():
        first, _, last = key_range.partition("-")
        last = last or first
        # Lines of other programs may name ranges of something else.
        if not (first.isdecimal() and last.isdecimal()):
            continue
        if any(int(first) <= key <= int(last) for key in keys):
            return True
    return False
