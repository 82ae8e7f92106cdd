"""Parses and validates customer contracts, and matches requests to operations.

A contract is a YAML document with the services that a customer may call and
their limits, deadlines and operations. Validation reports all findings at
once. The control group stores a valid contract as normalised JSON.
"""

import functools
import json
import pathlib
from typing import Any
from typing import NamedTuple
import urllib.parse

import jsonschema
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from bamboosill_common import contractrules
from bamboosill_common import findings as findings_lib
from bamboosill_common import sharding
from bamboosill_common import yamldoc

MAX_DOCUMENT_BYTES = 64 * 1024
REPEATABLE_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})
_SCHEMA_PATH = pathlib.Path(__file__).parent / "schema" / "contract.json"

DEFAULT_CLASS = "wait"
DEFAULT_ZONE_LOSS = "hold"
DEFAULT_QUEUE = 64
DEFAULT_MAX_HEADER_BYTES = 16 * 1024
DEFAULT_MAX_BODY_BYTES = 1024 * 1024
DEFAULT_DEADLINE_MS = 2_000
DEFAULT_LONGEST_MS = 30_000


class Limits(NamedTuple):
    """Admission limits of one customer for one service."""

    rate_per_s: float
    burst: float
    concurrency: int
    queue: int = DEFAULT_QUEUE
    max_header_bytes: int = DEFAULT_MAX_HEADER_BYTES
    max_body_bytes: int = DEFAULT_MAX_BODY_BYTES


class Deadlines(NamedTuple):
    """Default and maximum request deadline in milliseconds."""

    default: int = DEFAULT_DEADLINE_MS
    longest: int = DEFAULT_LONGEST_MS


class Weights(NamedTuple):
    """Relative importance of each measured quantity to a customer."""

    unavailability: float = 1.0
    churn: float = 1.0
    imbalance: float = 1.0


class Operation(NamedTuple):
    """One kind of request; `find_operation` defines the `path` patterns."""

    method: str
    path: str
    repeatable: bool
    traffic_class: str


class Service(NamedTuple):
    """One service of a contract; an empty `zones` stands for all zones."""

    name: str
    traffic_class: str
    zone_loss: str
    zones: tuple[str, ...]
    limits: Limits
    deadlines: Deadlines
    weights: Weights
    weight: float
    operations: tuple[Operation, ...]

    def find_operation(self, method: str, path: str) -> Operation:
        """Returns the first operation of the contract that matches a request.

        In a pattern, `*` matches one segment and a trailing `**` matches any
        number of segments. Before matching, percent escapes are decoded, dot
        segments resolved and empty segments removed, so that all spellings of
        a path match the same operation. If no operation matches, the result
        follows from the HTTP method and the class of the service.

        Args:
            method: HTTP method.
            path: Path below the service, without the query.
        """
        segments = _split_normalised_path(path)
        for operation in self.operations:
            if operation.method == method.upper() and _matches_pattern(
                _split_normalised_path(operation.path), segments
            ):
                return operation
        return Operation(
            method.upper(),
            path,
            is_repeatable_method(method),
            self.traffic_class,
        )

    def format_keyspace(self) -> str:
        """Returns the id of the keyspace of this service."""
        return sharding.format_keyspace(self.name, self.zone_loss, self.zones)


class Contract(NamedTuple):
    """The contract of one customer."""

    customer: str
    services: tuple[Service, ...]

    def find_service(self, name: str) -> Service | None:
        """Returns the service with the given name, or None."""
        return next((each for each in self.services if each.name == name), None)


def is_repeatable_method(method: str) -> bool:
    """Returns whether a method is repeatable by default."""
    return method.upper() in REPEATABLE_METHODS


def parse(
    text: str, source: str = "contract"
) -> Result[Contract, tuple[findings_lib.Finding, ...]]:
    """Parses and validates a YAML or JSON document.

    Args:
        text: The document.
        source: File name for the findings.

    Returns:
        The contract, or all findings sorted by line.
    """
    if len(text.encode(errors="replace")) > MAX_DOCUMENT_BYTES:
        place = findings_lib.Location(source)
        message = f"is larger than {MAX_DOCUMENT_BYTES} bytes"
        return Failure((findings_lib.Finding(place, message),))
    document = yamldoc.load(text, source)
    all_findings = [*document.findings]
    if document.value is not None:
        all_findings += _check_schema(document)
        all_findings += contractrules.check(document)
    if all_findings:
        all_findings.sort(key=lambda each: (each.place.line, each.place.path))
        return Failure(tuple(all_findings))
    return Success(_build_contract(document.value))


def read_stored(text: str) -> Contract:
    """Parses a contract that was written by `normalise`.

    Raises:
        ValueError: The text is not a normalised contract.
    """
    try:
        return _build_contract(json.loads(text))
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"not a normalised contract: {error}") from error


def normalise(contract: Contract) -> str:
    """Returns the contract as canonical JSON with all defaults filled in."""
    services = []
    for service in contract.services:
        values = service._asdict()
        values["class"] = values.pop("traffic_class")
        values["deadline_ms"] = values.pop("deadlines")._asdict()
        values["limits"] = service.limits._asdict()
        values["weights"] = service.weights._asdict()
        values["operations"] = [
            {
                "method": each.method,
                "path": each.path,
                "repeatable": each.repeatable,
                "class": each.traffic_class,
            }
            for each in service.operations
        ]
        services.append(values)
    document = {"customer": contract.customer, "services": services}
    return json.dumps(document, sort_keys=True, separators=(",", ":"))


@functools.cache
def _load_validator() -> Any:
    schema = json.loads(_SCHEMA_PATH.read_text())
    return jsonschema.Draft202012Validator(schema)


def _check_schema(document: yamldoc.Document) -> list[findings_lib.Finding]:
    schema_findings = []
    for error in _load_validator().iter_errors(document.value):
        path = tuple(error.absolute_path)
        if error.validator == "additionalProperties":
            known_fields = error.schema.get("properties", {})
            schema_findings += [
                document.make_finding((*path, key), "is not a known field")
                for key in error.instance
                if key not in known_fields
            ]
        elif error.validator == "required":
            schema_findings += [
                document.make_finding(path, f"lacks the field {key!r}")
                for key in error.validator_value
                if key not in error.instance
                and f"'{key}' is a required" in error.message
            ]
        else:
            schema_findings.append(
                document.make_finding(path, error.message[:200])
            )
    return schema_findings


def _build_contract(value: dict[str, Any]) -> Contract:
    services = tuple(_build_service(each) for each in value["services"])
    return Contract(value["customer"], services)


def _build_service(value: dict[str, Any]) -> Service:
    limits = dict(value["limits"])
    limits.setdefault("burst", max(1.0, limits["rate_per_s"]))
    for name in ("concurrency", "queue", "max_header_bytes", "max_body_bytes"):
        if name in limits:
            limits[name] = int(limits[name])
    traffic_class = value.get("class", DEFAULT_CLASS)
    return Service(
        name=value["name"],
        traffic_class=traffic_class,
        zone_loss=value.get("zone_loss", DEFAULT_ZONE_LOSS),
        zones=tuple(sorted(value.get("zones", ()))),
        limits=Limits(**limits),
        deadlines=contractrules.read_deadlines(value, Deadlines()),
        weights=Weights(**value.get("weights", {})),
        weight=value.get("weight", 1),
        operations=tuple(
            Operation(
                each["method"],
                each["path"],
                each.get("repeatable", is_repeatable_method(each["method"])),
                each.get("class", traffic_class),
            )
            for each in value.get("operations", ())
        ),
    )


def _split_normalised_path(path: str) -> tuple[str, ...]:
    segments: list[str] = []
    for part in urllib.parse.unquote(path).split("/"):
        if part == "..":
            segments = segments[:-1]
        elif part not in ("", "."):
            segments.append(part)
    return tuple(segments)


def _matches_pattern(pattern: tuple[str, ...], path: tuple[str, ...]) -> bool:
    if pattern and pattern[-1] == "**":
        pattern, path = pattern[:-1], path[: len(pattern) - 1]
    return len(pattern) == len(path) and all(
        each in ("*", part) for each, part in zip(pattern, path, strict=True)
    )
