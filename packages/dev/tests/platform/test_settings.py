"""The platform's settings file."""

import pytest

import settings

_ENTRY = """
self.node_id=edge-1
self.serves=edge
self.ip=10.1.0.35
self.zone=z1
self.bootstrap=true
network.listen.front=10.1.0.35:8144
network.listen.readiness=10.1.0.35:8140
network.internal_ports=7660,7675
network.seeds=10.1.0.38:8146,10.2.0.30:8146
platform.heartbeat=870ms
terms.bounds.drain=2000ms
terms.bounds.grace=6s
terms.bounds.hold_max=10000ms
terms.bounds.budget_window=10s
terms.bounds.budget_slack=56
terms.bounds.retry_budget_ratio=0.2
a.field.of.tomorrow=x
"""
_CONTROL = (
    _ENTRY.replace("self.serves=edge", "self.serves=control_plane")
    .replace("network.listen.front", "network.listen.control")
    .replace("self.ip", "self.data_dir=/data/x\nself.ip")
)


def test_an_entry_instance_finds_its_addresses_and_peers():
    """Guards against wrong listen addresses or addresses of peers."""
    loaded, findings = settings.parse("f", _ENTRY)
    assert not findings
    assert loaded.fleet.control_peers == ("10.1.0.38:7660", "10.2.0.30:7660")
    assert loaded.fleet.peer_address == "10.1.0.35:7660"
    assert loaded.fleet.heartbeat_ms == 870
    assert loaded.entry.caller_address == "10.1.0.35:8144"
    assert loaded.entry.grace_s == 6.0
    assert loaded.entry.gateway.retry_constant == 56
    assert loaded.control is None


def test_a_control_instance_has_a_data_folder():
    """Guards against a control instance that cannot store its state."""
    loaded, findings = settings.parse("f", _CONTROL)
    assert not findings
    assert loaded.control.api_address == "10.1.0.35:8144"
    assert loaded.fleet.data_dir == "/data/x"
    _, findings = settings.parse(
        "f", _CONTROL.replace("self.data_dir=/data/x\n", "")
    )
    assert [each.place.path for each in findings] == ["self.data_dir"]


_ZONES = "network.zones.z1=r1\nnetwork.zones.z2=r1\n"


@pytest.mark.parametrize(
    ("text", "zones", "evacuation_s"),
    [
        (_ZONES + "terms.bounds.evacuate=5000ms\n", {"z1", "z2"}, 5.0),
        (_ZONES + "terms.bounds.evacuate=4s\n", {"z1", "z2"}, 4.0),
        (_ZONES, set(), 0.0),
        ("terms.bounds.evacuate=5000ms\n", set(), 5.0),
    ],
)
def test_zones_can_be_evacuated_where_a_bound_is_agreed(
    text, zones, evacuation_s
):
    """Guards against orders without a bound, and against another bound."""
    loaded, findings = settings.parse("f", _CONTROL + text)
    assert not findings
    assert loaded.control.evacuable_zones == zones
    loaded, _ = settings.parse("f", _ENTRY + text)
    assert loaded.entry.gateway.evacuation_s == evacuation_s


@pytest.mark.parametrize(
    ("old", "new", "path"),
    [
        ("self.node_id=edge-1", "", "self.node_id"),
        ("870ms", "870", "platform.heartbeat"),
        ("870ms", "fast", "platform.heartbeat"),
        ("7660,7675", "7660", "network.internal_ports"),
        ("10.2.0.30:8146", "10.2.0.30", "network.seeds"),
        ("=10.1.0.35:8140", "=nowhere", "network.listen.readiness"),
        ("budget_slack=56", "budget_slack=many", "terms.bounds.budget_slack"),
        ("bootstrap=true", "bootstrap=yes", "self.bootstrap"),
        (
            "a.field.of.tomorrow=x",
            "terms.bounds.evacuate=soon",
            "terms.bounds.evacuate",
        ),
        ("a.field.of.tomorrow=x", "no equals sign", "no equals sign"),
    ],
)
def test_each_invalid_setting_is_reported_by_name(old, new, path):
    """Guards against a process that starts with a default for a bad value."""
    loaded, findings = settings.parse("f", _ENTRY.replace(old, new))
    assert loaded is None
    assert [each.place.path for each in findings] == [path]


def test_all_findings_are_reported_together():
    """Guards against reporting only one finding at each start."""
    loaded, findings = settings.parse("f", "")
    assert loaded is None
    assert len(findings) > 3


@pytest.mark.parametrize(
    ("text", "duration_ms"),
    [
        ("1500ms", 1500),
        ("2.5s", 2500),
        ("0ms", 0),
        ("5", None),
        ("-1s", None),
        ("nans", None),
        ("s", None),
        (5, None),
        (None, None),
    ],
)
def test_durations_are_a_number_and_a_unit(text, duration_ms):
    """Guards against a duration that is read in another unit."""
    assert settings.parse_duration_ms(text) == duration_ms


def test_an_unreadable_file_is_a_finding(tmp_path):
    """Guards against a process that starts without settings."""
    loaded, findings = settings.read_file(str(tmp_path / "none"))
    assert loaded is None
    assert len(findings) == 1
