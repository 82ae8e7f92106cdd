"""Rules of contracts that concern several fields, beyond the JSON schema."""

from collections.abc import Iterator
from typing import Any
from typing import TypeVar

from bamboosill_common import findings as findings_lib
from bamboosill_common import yamldoc

# Unavailability, churn and imbalance; one that is not given is 1.
_WEIGHTS = 3

Deadlines = TypeVar("Deadlines", bound=Any)


def read_deadlines(value: dict[str, Any], defaults: Deadlines) -> Deadlines:
    """Returns the deadlines of a service.

    A deadline that is not given never contradicts one that is: the default
    is lowered to a stated longest, the longest raised to a stated default.
    """
    given = value.get("deadline_ms", {})
    default = given.get("default", defaults.default)
    longest = given.get("longest", defaults.longest)
    if "default" not in given:
        default = min(default, longest)
    if "longest" not in given:
        longest = max(longest, default)
    changed: Deadlines = defaults._replace(
        default=int(default), longest=int(longest)
    )
    return changed


def check(document: yamldoc.Document) -> list[findings_lib.Finding]:
    """Returns the findings; parts of the wrong shape are passed over."""
    found = []
    names: set[str] = set()
    for index, service in _list_mappings(document.value, "services"):
        path: yamldoc.Path = ("services", index)
        name = service.get("name")
        if isinstance(name, str):
            if name in names:
                message = f"service {name!r} is given twice"
                found.append(document.make_finding((*path, "name"), message))
            names.add(name)
        found += _check_deadlines(document, path, service)
        found += _check_zones(document, path, service)
        found += _check_weights(document, path, service)
        found += _check_operations(document, path, service)
    return found


def _list_mappings(value: Any, key: str) -> Iterator[tuple[int, Any]]:
    items = value.get(key) if isinstance(value, dict) else None
    if isinstance(items, list):
        for index, item in enumerate(items):
            if isinstance(item, dict):
                yield index, item


def _check_deadlines(
    document: yamldoc.Document, path: yamldoc.Path, service: dict[str, Any]
) -> Iterator[findings_lib.Finding]:
    given = service.get("deadline_ms")
    if not isinstance(given, dict):
        return
    default, longest = given.get("default"), given.get("longest")
    if (
        isinstance(default, int)
        and isinstance(longest, int)
        and default > longest
    ):
        message = f"{default} is above the longest deadline {longest}"
        inner = (*path, "deadline_ms", "default")
        yield document.make_finding(inner, message)


def _check_zones(
    document: yamldoc.Document, path: yamldoc.Path, service: dict[str, Any]
) -> Iterator[findings_lib.Finding]:
    zones = service.get("zones")
    if not isinstance(zones, list):
        return
    for index, zone in enumerate(zones):
        if zone in zones[:index]:
            message = f"zone {zone!r} is given twice"
            yield document.make_finding((*path, "zones", index), message)


def _check_weights(
    document: yamldoc.Document, path: yamldoc.Path, service: dict[str, Any]
) -> Iterator[findings_lib.Finding]:
    weights = service.get("weights")
    if (
        isinstance(weights, dict)
        and len(weights) == _WEIGHTS
        and all(value == 0 for value in weights.values())
    ):
        message = "at least one weight must be above 0"
        yield document.make_finding((*path, "weights"), message)


def _check_operations(
    document: yamldoc.Document, path: yamldoc.Path, service: dict[str, Any]
) -> Iterator[findings_lib.Finding]:
    seen: set[tuple[Any, Any]] = set()
    for index, operation in _list_mappings(service, "operations"):
        inner = (*path, "operations", index)
        pattern = operation.get("path")
        if not isinstance(pattern, str):
            continue
        problem = _find_path_problem(pattern)
        if problem:
            yield document.make_finding((*inner, "path"), problem)
        pair = (operation.get("method"), pattern)
        if pair in seen:
            message = f"operation {pair[0]} {pattern} is given twice"
            yield document.make_finding(inner, message)
        seen.add(pair)


def _find_path_problem(pattern: str) -> str:
    if not pattern.startswith("/"):
        return f"{pattern!r} does not start with '/'"
    segments = pattern.split("/")[1:]
    if any(mark in pattern for mark in "?#% \t\r\n"):
        return f"{pattern!r} has a query, fragment, escape or space"
    if "" in segments[:-1] or "." in segments or ".." in segments:
        return f"{pattern!r} has an empty or relative segment"
    if "**" in segments[:-1]:
        return f"{pattern!r} has '**' before its end"
    if any("*" in each and each not in ("*", "**") for each in segments):
        return f"{pattern!r} has '*' inside a segment"
    return ""
