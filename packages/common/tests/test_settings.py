"""Tests of loading and validating settings."""

import json

import pytest

from bamboosill_common import settings as settings_lib
from bamboosill_common.generated import settings as generated

GOOD_FLAGS = {
    "instance_id": "a",
    "zone": "z1",
    "peer_listen": "127.0.0.1:1",
    "admin_listen": "127.0.0.1:2",
    "caller_listen": "127.0.0.1:3",
    "upstream_listen": "127.0.0.1:4",
    "control_peers": "c=127.0.0.1:5",
}


def load(environment=None, **flags):
    loaded = settings_lib.load_settings(
        generated.DAEMON_SETTINGS, {**GOOD_FLAGS, **flags}, environment or {}
    )
    settings_lib.check_daemon(loaded)
    return loaded


def test_good_settings_have_no_findings():
    """Guards against rejecting valid settings."""
    loaded = load()
    assert not loaded.findings
    assert generated.DaemonSettings(**loaded.values).roles == ("entry",)


@pytest.mark.parametrize(
    ("flags", "place", "text"),
    [
        ({"zone": ""}, "--zone", "is required"),
        ({"peer_listen": "host:1"}, "--peer-listen", "is no address"),
        ({"peer_listen": "127.0.0.1:99999"}, "--peer-listen", "out of range"),
        ({"peer_listen": "10.0.0.1:1"}, "--peer-listen", "loopback"),
        ({"shards_per_keyspace": "0"}, "--shards-per-keyspace", "below 1"),
        ({"shards_per_keyspace": "x"}, "--shards-per-keyspace", "is no int"),
        *(
            ({"shutdown_grace_s": text}, "--shutdown-grace-s", "no finite")
            for text in ("nan", "inf", "-inf")
        ),
        (
            {"shards_per_keyspace": "9" * 400},
            "--shards-per-keyspace",
            "is above",
        ),
        ({"roles": "entry,chef"}, "--roles", "is not one of"),
        ({"roles": "control"}, "--data-dir", "is required"),
        ({"caller_listen": ""}, "--caller-listen", "is required"),
        ({"control_peers": "c"}, "--control-peers", "name=IP:port"),
        ({"key_file": "missing.json"}, "--key-file", "no such file"),
        ({"tls_cert": "missing.pem"}, "--tls-key", "together"),
        ({"tls_cert": "missing.pem"}, "--tls-ca", "together"),
        ({"tls_ca": "missing.pem"}, "--tls-cert", "together"),
    ],
)
def test_bad_setting_is_found_with_its_place(flags, place, text):
    """Guards against accepting a bad setting or reporting another one."""
    findings = load(**flags).findings
    assert any(
        finding.place.source == place and text in finding.message
        for finding in findings
    ), findings


def test_all_findings_are_reported_together():
    """Guards against validation that stops at the first finding."""
    assert len(load(zone="", peer_listen="x", seed="-1").findings) == 3


def test_flag_goes_before_environment():
    """Guards against an environment variable that overrides a flag."""
    environment = {"BAMBOOSILL_ZONE": "z2", "BAMBOOSILL_SEED": "7"}
    loaded = load(environment)
    assert loaded.values["zone"] == "z1"
    assert loaded.values["seed"] == 7
    assert "BAMBOOSILL_SEED" in settings_lib.format_settings(loaded)


def test_unusable_files_are_found(tmp_path):
    """Guards against an invalid file that is only noticed when it is used."""
    key_path, empty_path = tmp_path / "keys.json", tmp_path / "empty.pem"
    secret = "s" * 32
    key_path.write_text(
        json.dumps({"keys": [{"id": "a", "secret": secret, "roles": []}]})
    )
    empty_path.write_text("")
    loaded = load(
        key_file=str(key_path),
        tls_cert=str(empty_path),
        tls_key=str(empty_path),
        tls_ca=str(empty_path),
    )
    messages = {each.place.source: each.message for each in loaded.findings}
    assert "no key of role instance" in messages["--key-file"]
    assert "cannot be loaded" in messages["--tls-cert"]
    assert secret not in str(loaded.findings)
