"""Tests of parsing and validating contracts."""

import hypothesis
from hypothesis import strategies
import pytest

from bamboosill_common import contract
from bamboosill_common import yamldoc

GOOD_DOCUMENT = """\
customer: grand-bois
services:
  - name: shopfront
    class: counter
    zone_loss: lapse
    zones: [mu-south, mu-north]
    limits: {rate_per_s: 200, burst: 50, concurrency: 32}
    deadline_ms: {default: 2000, longest: 10000}
    operations:
      - {method: POST, path: /orders, repeatable: false, class: wait}
      - {method: POST, path: /search/*, repeatable: true}
      - {method: GET, path: /charge/**, repeatable: false}
"""
LIMITS = "{rate_per_s: 1, concurrency: 1}"


def make_document(service):
    lines = [f"    {line}" for line in service.splitlines()]
    lines[0] = f"  - {lines[0].strip()}"
    return "customer: a\nservices:\n" + "\n".join(lines) + "\n"


# Each entry: the document, then the location and a part of the message of each
# finding.
BAD_DOCUMENTS = {
    "empty": ("", [("c:1", "is empty")]),
    "not YAML": ("a: [", [("c:1", "is not valid YAML")]),
    "list": ("- 1", [("c:1", "is not of type 'object'")]),
    "deep": ("[" * 5000, [("c:1", "nested too deeply")]),
    "alias": (
        "customer: &x a\nservices: *x",
        [
            ("c:1: customer", "anchor"),
            ("c:1: customer", "not of type"),
            ("c:1: services", "anchor"),
            ("c:2: services", "not of type"),
        ],
    ),
    "missing": (
        "foo: 1",
        [
            ("c:1", "lacks the field 'customer'"),
            ("c:1", "lacks the field 'services'"),
            ("c:1: foo", "is not a known field"),
        ],
    ),
    "names": (
        make_document(f"name: Shop_1\nlimits: {LIMITS}"),
        [("c:3: services[0].name", "does not match")],
    ),
    "name with newline": (
        make_document(f'name: "shop\\n"\nlimits: {LIMITS}'),
        [("c:3: services[0].name", "does not match")],
    ),
    "duplicate key": (
        make_document(f"name: s\nname: t\nlimits: {LIMITS}"),
        [("c:4: services[0].name", "is given twice")],
    ),
    "duplicate service": (
        make_document(f"name: s\nlimits: {LIMITS}")
        + f"  - name: s\n    limits: {LIMITS}\n",
        [("c:5: services[1].name", "service 's' is given twice")],
    ),
    "unknown class": (
        make_document(f"name: s\nclass: fast\nlimits: {LIMITS}"),
        [("c:4: services[0].class", "is not one of")],
    ),
    "unknown zone_loss": (
        make_document(f"name: s\nzone_loss: keep\nlimits: {LIMITS}"),
        [("c:4: services[0].zone_loss", "is not one of")],
    ),
    "no zones": (
        make_document(f"name: s\nzones: []\nlimits: {LIMITS}"),
        [("c:4: services[0].zones", "should be non-empty")],
    ),
    "zone twice": (
        make_document(f"name: s\nzones:\n  - a\n  - a\nlimits: {LIMITS}"),
        [("c:6: services[0].zones[1]", "zone 'a' is given twice")],
    ),
    "burst below one": (
        make_document("name: s\nlimits:\n  rate_per_s: 1\n  burst: 0.5")
        + "      concurrency: 1\n",
        [("c:6: services[0].limits.burst", "less than the minimum")],
    ),
    "limits out of bounds": (
        make_document("name: s\nlimits:\n  rate_per_s: 0\n  concurrency: 0")
        + "      queue: -1\n      max_header_bytes: 1\n"
        + "      max_body_bytes: 99999999999\n",
        [
            ("c:5: services[0].limits.rate_per_s", "minimum"),
            ("c:6: services[0].limits.concurrency", "minimum"),
            ("c:7: services[0].limits.queue", "minimum"),
            ("c:8: services[0].limits.max_header_bytes", "minimum"),
            ("c:9: services[0].limits.max_body_bytes", "maximum"),
        ],
    ),
    "not a number": (
        make_document("name: s\nlimits: {rate_per_s: .nan, concurrency: x}"),
        [
            ("c:4: services[0].limits.concurrency", "is not of type"),
            ("c:4: services[0].limits.rate_per_s", "decimal number"),
            ("c:4: services[0].limits.rate_per_s", "is not of type"),
        ],
    ),
    "deadlines": (
        make_document(f"name: s\nlimits: {LIMITS}\n")
        + "    deadline_ms: {default: 9, longest: 8}\n",
        [("c:5: services[0].deadline_ms.default", "above the longest")],
    ),
    "weights": (
        make_document(f"name: s\nlimits: {LIMITS}\n")
        + "    weights: {unavailability: 0, churn: 0, imbalance: 0}\n",
        [("c:5: services[0].weights", "at least one")],
    ),
    "operations": (
        make_document(f"name: s\nlimits: {LIMITS}\noperations:")
        + "      - {method: get, path: /a}\n"
        + "      - {method: GET, path: a}\n"
        + "      - {method: GET, path: /a?b}\n"
        + "      - {method: GET, path: /a/../b}\n"
        + "      - {method: GET, path: /**/b}\n"
        + "      - {method: GET, path: /a*}\n"
        + "      - {method: PUT, path: /a}\n"
        + "      - {method: PUT, path: /a, rerun: true}\n",
        [
            ("c:6: services[0].operations[0].method", "is not one of"),
            ("c:7: services[0].operations[1].path", "start with '/'"),
            ("c:8: services[0].operations[2].path", "query"),
            ("c:9: services[0].operations[3].path", "relative"),
            ("c:10: services[0].operations[4].path", "before its end"),
            ("c:11: services[0].operations[5].path", "inside a segment"),
            ("c:13: services[0].operations[7]", "is given twice"),
            ("c:13: services[0].operations[7].rerun", "not a known field"),
        ],
    ),
}


@pytest.mark.parametrize("name", BAD_DOCUMENTS)
def test_bad_contract(name):
    """Guards against missing findings and wrong locations."""
    text, expected = BAD_DOCUMENTS[name]
    found = contract.parse(text, "c").failure()
    assert [each.place.format() for each in found] == [
        location for location, _ in expected
    ]
    for finding, (_, message_part) in zip(found, expected, strict=True):
        assert message_part in finding.message


def test_too_large_document():
    """Guards against documents that are too large for the replicated log."""
    text = "#" * (contract.MAX_DOCUMENT_BYTES + 1)
    assert "larger" in contract.parse(text).failure()[0].message


def test_normalised_text_is_the_same_contract():
    """Guards against losing fields when a contract is stored."""
    parsed = contract.parse(GOOD_DOCUMENT).unwrap()
    stored = contract.normalise(parsed)
    assert contract.read_stored(stored) == parsed
    assert contract.parse(stored).unwrap() == parsed
    assert parsed.services[0].zones == ("mu-north", "mu-south")


@pytest.mark.parametrize(
    ("given", "deadlines"),
    [
        ("", (2000, 30000)),
        ("deadline_ms: {longest: 500}", (500, 500)),
        ("deadline_ms: {default: 60000}", (60000, 60000)),
        ("deadline_ms: {default: 10, longest: 20}", (10, 20)),
    ],
)
def test_default_deadlines(given, deadlines):
    """Guards against defaults that contradict given deadlines."""
    text = make_document(f"name: s\nlimits: {LIMITS}\n{given}")
    service = contract.parse(text).unwrap().services[0]
    assert service.deadlines == deadlines


@pytest.mark.parametrize(
    ("method", "path", "repeatable", "traffic_class"),
    [
        ("POST", "/orders", False, "wait"),
        ("POST", "/orders/", False, "wait"),
        ("POST", "//orders", False, "wait"),
        ("POST", "/x/../ord%65rs", False, "wait"),
        ("POST", "/orders/7", False, "counter"),
        ("POST", "/search/a", True, "counter"),
        ("POST", "/search", False, "counter"),
        ("POST", "/search/a/b", False, "counter"),
        ("GET", "/charge", False, "counter"),
        ("GET", "/charge/a/b", False, "counter"),
        ("GET", "/x%2f..%2fcharge", False, "counter"),
        ("get", "/orders", True, "counter"),
        ("HEAD", "/charge", True, "counter"),
        ("PUT", "/a", True, "counter"),
        ("DELETE", "/a", True, "counter"),
        ("PATCH", "/a", False, "counter"),
        ("BREW", "/a", False, "counter"),
    ],
)
def test_find_operation(method, path, repeatable, traffic_class):
    """Guards against repeating a non-repeatable request.

    Another spelling of its path must match the same operation.
    """
    service = contract.parse(GOOD_DOCUMENT).unwrap().find_service("shopfront")
    found = service.find_operation(method, path)
    assert (found.repeatable, found.traffic_class) == (
        repeatable,
        traffic_class,
    )


@hypothesis.given(strategies.text(alphabet="ab:-[]{}&*!|>'\"%#\n 0.\x00\udc80"))
def test_any_text_gives_findings(text):
    """Guards against documents that raise an exception."""
    assert contract.parse(text).failure()


@pytest.mark.parametrize(
    ("text", "value", "is_found"),
    [
        ("a: true", True, False),
        ("a: False", False, False),
        ("a: yes", "yes", False),
        ("%YAML 1.1\n---\na: true", True, False),
        ("%YAML 1.1\n---\na: yes", None, True),
        ("%YAML 1.1\n---\na: off", None, True),
    ],
)
def test_words_of_another_yaml_version_are_found(text, value, is_found):
    """Guards against "yes" that is taken for false."""
    document = yamldoc.load(text, "c")
    assert document.value == {"a": value}
    assert bool(document.findings) == is_found
