"""Contract checks that a JSON schema cannot express.

They compare several fields with each other, or check the syntax of path
patterns.
"""

from collections.abc import Iterator
from typing import Any
from typing import TypeVar

from bamboosill_common import findings as findings_lib
from bamboosill_common import yamldoc

# The weights of a service: unavailability, churn (moves of keys) and imbalance.
# An omitted weight is 1.
_WEIGHT_COUNT = 3

Deadlines = TypeVar("Deadlines", bound=Any)


def read_deadlines(value: dict[str, Any], defaults: Deadlines) -> Deadlines:
    """Returns the deadlines of a service, with defaults where omitted.

    A default value never contradicts a given one: an omitted `default` is
    lowered to a given `longest`, and an omitted `longest` is raised to a given
    `default`.
    """
    given = value.get("deadline_ms", {})
    default = given.get("default", defaults.default)
    longest = given.get("longest", defaults.longest)
    if "default" not in given:
        default = min(default, longest)
    if "longest" not in given:
        longest = max(longest, default)
    deadlines: Deadlines = defaults._replace(
        default=int(default), longest=int(longest)
    )
    return deadlines


def check(document: yamldoc.Document) -> list[findings_lib.Finding]:
    """Returns the findings; values of the wrong type are skipped.

    The JSON schema reports values of the wrong type.
    """
    all_findings = []
    names: set[str] = set()
    for index, service in _iterate_mappings(document.value, "services"):
        path: yamldoc.Path = ("services", index)
        name = service.get("name")
        if isinstance(name, str):
            if name in names:
                message = f"service {name!r} is given twice"
                all_findings.append(
                    document.make_finding((*path, "name"), message)
                )
            names.add(name)
        all_findings += _check_deadlines(document, path, service)
        all_findings += _check_zones(document, path, service)
        all_findings += _check_weights(document, path, service)
        all_findings += _check_operations(document, path, service)
    return all_findings


def _iterate_mappings(value: Any, key: str) -> Iterator[tuple[int, Any]]:
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
        field_path = (*path, "deadline_ms", "default")
        yield document.make_finding(field_path, message)


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
        and len(weights) == _WEIGHT_COUNT
        and all(value == 0 for value in weights.values())
    ):
        message = "at least one weight must be above 0"
        yield document.make_finding((*path, "weights"), message)


def _check_operations(
    document: yamldoc.Document, path: yamldoc.Path, service: dict[str, Any]
) -> Iterator[findings_lib.Finding]:
    seen_operations: set[tuple[Any, Any]] = set()
    for index, operation in _iterate_mappings(service, "operations"):
        operation_path = (*path, "operations", index)
        pattern = operation.get("path")
        if not isinstance(pattern, str):
            continue
        problem = _find_path_problem(pattern)
        if problem:
            yield document.make_finding((*operation_path, "path"), problem)
        method_and_path = (operation.get("method"), pattern)
        if method_and_path in seen_operations:
            message = f"operation {method_and_path[0]} {pattern} is given twice"
            yield document.make_finding(operation_path, message)
        seen_operations.add(method_and_path)


def _find_path_problem(pattern: str) -> str:
    if not pattern.startswith("/"):
        return f"{pattern!r} does not start with '/'"
    segments = pattern.split("/")[1:]
    if any(character in pattern for character in "?#% \t\r\n"):
        return f"{pattern!r} has a query, fragment, escape or space"
    if "" in segments[:-1] or "." in segments or ".." in segments:
        return f"{pattern!r} has an empty or relative segment"
    if "**" in segments[:-1]:
        return f"{pattern!r} has '**' before its end"
    if any(
        "*" in segment and segment not in ("*", "**") for segment in segments
    ):
        return f"{pattern!r} has '*' inside a segment"
    return ""
