"""Tests of signing and verifying tokens."""

import json
import os

import pytest
from returns.result import Failure
from returns.result import Success

from bamboosill_common import auth
from bamboosill_common import clock as clock_lib

SECRET = "s" * 32


class ManualClock(clock_lib.SystemClock):
    """Clock that a test advances by hand."""

    def __init__(self):
        self.now_s = 1000.0

    def monotonic(self):
        return self.now_s

    def wall_ms(self):
        return int(self.now_s * 1000)


def write_keys(path, *keys):
    document = {
        "keys": [
            {"id": name, "secret": secret, "roles": roles}
            for name, secret, roles in keys
        ]
    }
    path.write_text(json.dumps(document))


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def key_file(tmp_path):
    path = tmp_path / "keys.json"
    write_keys(path, ("k1", SECRET, ["instance", "caller"]))
    return path


def test_token_names_its_subject(key_file, clock):
    """Guards against a token that gives its bearer another identity."""
    authenticator = auth.Authenticator(str(key_file), clock, "entry-1")
    token = authenticator.sign("caller", "shop")
    identity = authenticator.verify(token, "caller")
    assert identity == Success(auth.Identity("caller", "shop"))


@pytest.mark.parametrize(
    ("token", "role"),
    [
        ("", "caller"),
        ("a.b.c", "caller"),
        (None, "instance"),
        (None, "operator"),
    ],
    ids=["empty", "garbage", "other role", "role without key"],
)
def test_bad_token_is_refused(key_file, clock, token, role):
    """Guards against accepting invalid tokens or tokens of another role."""
    authenticator = auth.Authenticator(str(key_file), clock)
    token = authenticator.sign("caller", "shop") if token is None else token
    assert isinstance(authenticator.verify(token, role), Failure)


def test_expired_token_is_refused(key_file, clock):
    """Guards against tokens that never expire."""
    authenticator = auth.Authenticator(str(key_file), clock)
    token = authenticator.sign("caller", "shop")
    clock.now_s += auth.TOKEN_LIFETIME_S + 60
    assert isinstance(authenticator.verify(token, "caller"), Failure)


def test_keys_are_replaced_without_restart(key_file, clock):
    """Guards against a removed key that is still accepted."""
    authenticator = auth.Authenticator(str(key_file), clock)
    old = authenticator.sign("caller", "shop")
    write_keys(key_file, ("k2", "t" * 32, ["caller"]))
    os.utime(key_file, ns=(1, 1))
    clock.now_s += 2
    assert isinstance(authenticator.verify(old, "caller"), Failure)
    new = authenticator.sign("caller", "shop")
    assert isinstance(authenticator.verify(new, "caller"), Success)


def test_damaged_key_file_keeps_the_keys_in_use(key_file, clock):
    """Guards against rejecting all tokens while a key file is half-written."""
    authenticator = auth.Authenticator(str(key_file), clock)
    token = authenticator.sign("caller", "shop")
    key_file.write_text("{")
    clock.now_s += 2
    assert isinstance(authenticator.verify(token, "caller"), Success)


def test_short_secret_is_refused(tmp_path):
    """Guards against secrets that are short enough to guess."""
    path = tmp_path / "keys.json"
    write_keys(path, ("k1", "short", ["caller"]))
    assert "shorter" in auth.load_keys(path).failure()
