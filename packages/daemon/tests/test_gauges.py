"""Tests of metrics and of the page about them."""

import pathlib
import re

import prometheus_client
import pytest

from bamboosill_common import clock
from bamboosill_common import events
from bamboosill_common import metrics
from bamboosilld import gauges
from bamboosilld import instance

PAGE = pathlib.Path(__file__).parents[3] / "docs" / "metrics.md"
# Labels whose values the code defines. A customer or key is none of them.
LABELS = {
    "cause",
    "change",
    "status",
    "outcome",
    "reason",
    "class",
    "stage",
    "fault",
    "group",
    "port",
}
UNITS = ("_seconds", "_total")
PLAIN_GAUGES = {"gauge"}


def list_metrics():
    """Returns name, type and labels of each registered metric."""
    assert instance.ControlRole
    found = {}
    for collector in set(prometheus_client.REGISTRY._collector_to_names):
        if not hasattr(collector, "_labelnames"):
            continue  # The library's own, about the process.
        for family in collector.describe():
            if family.name.startswith("bamboosill_"):
                suffix = "_total" if family.type == "counter" else ""
                labels = set(collector._labelnames)
                found[family.name + suffix] = (family.type, labels)
    return found


def test_page_and_registry_agree():
    """Guards against metrics that no page explains, and the reverse."""
    rows = re.findall(
        r"^\| `(bamboosill_\w+)` \| ([^|]*) \|", PAGE.read_text(), re.M
    )
    on_page = {}
    for name, described in rows:
        assert name not in on_page, f"{name} is on the page twice"
        kind, _, labels = described.partition(";")
        on_page[name] = (kind.strip(), set(re.findall(r"`(\w+)`", labels)))
    assert on_page == list_metrics()


def test_names_and_labels_follow_the_rules():
    """Guards against names without units and labels without bounds."""
    for name, (kind, labels) in list_metrics().items():
        assert kind in PLAIN_GAUGES or name.endswith(UNITS), name
        assert labels <= LABELS, name


@pytest.mark.parametrize(
    ("part", "name", "fields", "read", "amount"),
    [
        (
            "zone",
            "begin_move",
            {"shards": 3},
            lambda: metrics.zone_moves_begun,
            3,
        ),
        (
            "zone",
            "finish_move",
            {"shards": 2},
            lambda: metrics.zone_moves_finished,
            2,
        ),
        ("zone", "upstream_lost", {}, lambda: metrics.zone_upstreams_lost, 1),
        (
            "consensus",
            "elected",
            {"group": "zone/z1/7"},
            lambda: metrics.consensus_elections.labels("zone"),
            1,
        ),
        (
            "consensus",
            "campaign",
            {"group": "control"},
            lambda: metrics.consensus_campaigns.labels("control"),
            1,
        ),
        (
            "control",
            "delegations-set",
            {},
            lambda: metrics.control_delegations_changed,
            1,
        ),
    ],
)
def test_event_is_counted(part, name, fields, read, amount):
    """Guards against events that are recorded but not counted."""
    timeline = events.Timeline(clock.SystemClock(), "a")
    timeline.add_listener(gauges.count_event)
    before = read()._value.get()
    timeline.record(part, name, **fields)
    assert read()._value.get() == before + amount
