"""Tests of the metrics: documentation, naming rules and event counters."""

import pathlib
import re

import prometheus_client
import pytest

from bamboosill_common import clock
from bamboosill_common import events
from bamboosill_common import metrics
from bamboosilld import gauges
from bamboosilld import instance

METRICS_PAGE = pathlib.Path(__file__).parents[3] / "docs" / "metrics.md"
# Labels whose values the code defines, so that their number is bounded. Labels
# for customers or keys are not allowed.
ALLOWED_LABELS = {
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
UNIT_SUFFIXES = ("_seconds", "_total")
TYPES_WITHOUT_UNIT = {"gauge"}


def list_metrics():
    """Returns name, type and labels of each registered metric."""
    assert instance.ControlRole
    metrics_by_name = {}
    for collector in set(prometheus_client.REGISTRY._collector_to_names):
        if not hasattr(collector, "_labelnames"):
            continue  # A process metric of the client library.
        for family in collector.describe():
            if family.name.startswith("bamboosill_"):
                suffix = "_total" if family.type == "counter" else ""
                labels = set(collector._labelnames)
                metrics_by_name[family.name + suffix] = (family.type, labels)
    return metrics_by_name


def test_page_and_registry_agree():
    """Guards against undocumented metrics and documented ones that are gone."""
    rows = re.findall(
        r"^\| `(bamboosill_\w+)` \| ([^|]*) \|", METRICS_PAGE.read_text(), re.M
    )
    documented = {}
    for name, description in rows:
        assert name not in documented, f"{name} is on the page twice"
        metric_type, _, labels = description.partition(";")
        documented[name] = (
            metric_type.strip(),
            set(re.findall(r"`(\w+)`", labels)),
        )
    assert documented == list_metrics()


def test_names_and_labels_follow_the_rules():
    """Guards against names without a unit and labels without a bound."""
    for name, (metric_type, labels) in list_metrics().items():
        assert metric_type in TYPES_WITHOUT_UNIT or name.endswith(
            UNIT_SUFFIXES
        ), name
        assert labels <= ALLOWED_LABELS, name


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
