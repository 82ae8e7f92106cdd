"""Fixtures that run instances as processes on separate loopback addresses."""

import itertools
import json
import os
import signal
import subprocess
import sys
import time
import urllib.error
import urllib.request

import pytest

# Fails a test that hangs. Generous, because no test measures time with it.
_HANG_TIMEOUT_S = 120
_indexes = itertools.count(1)


def _allocate_host():
    """Returns a loopback IP address that no other test process uses."""
    process = os.getpid()
    return (
        f"127.{210 + process % 40}.{process // 40 % 250}.{next(_indexes) % 250}"
    )


def _make_flags(folder, **changes):
    """Returns the settings of an instance with the control and entry roles."""
    host = _allocate_host()
    flags = {
        "instance_id": "c1",
        "zone": "z1",
        "roles": "control,entry",
        "peer_listen": f"{host}:7100",
        "admin_listen": f"{host}:7200",
        "caller_listen": f"{host}:7300",
        "upstream_listen": f"{host}:7400",
        "control_peers": f"c1={host}:7100",
        "data_dir": str(folder / "data"),
        "shards_per_keyspace": "8",
        "seed": "1",
    }
    return {**flags, **changes}


class _Daemon:
    """A daemon process that runs one instance."""

    def __init__(self, flags):
        self.flags = flags
        command = [sys.executable, "-m", "bamboosilld.main"]
        command += [
            f"--{name.replace('_', '-')}={value}"
            for name, value in flags.items()
        ]
        environment = {**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)}
        self.process = subprocess.Popen(
            command, stderr=subprocess.PIPE, text=True, env=environment
        )

    def wait_for_exit(self):
        """Waits for the process; returns its exit code and standard error."""
        _, errors = self.process.communicate(timeout=_HANG_TIMEOUT_S)
        return self.process.returncode, errors

    def get(self, path):
        """Sends a GET to the admin port; returns status and JSON document."""
        url = f"http://{self.flags['admin_listen']}{path}"
        try:
            with urllib.request.urlopen(url, timeout=10) as response:
                return response.status, json.load(response)
        except urllib.error.HTTPError as error:
            return error.code, json.load(error)
        except OSError:
            return 0, {}

    def wait_for(self, condition):
        """Waits until the readiness response meets a condition; returns it."""
        deadline = time.monotonic() + _HANG_TIMEOUT_S
        while time.monotonic() < deadline:
            response = self.get("/readyz")
            if condition(*response):
                return response
            if self.process.poll() is not None:
                raise AssertionError(self.process.stderr.read())
            time.sleep(0.05)
        raise AssertionError("readiness condition not met before the timeout")

    def wait_ready(self):
        """Waits until the instance is ready."""
        self.wait_for(lambda status, document: status == 200)

    def send_signal(self, signal_number=signal.SIGTERM):
        """Sends a signal to the process, SIGTERM by default."""
        self.process.send_signal(signal_number)


@pytest.fixture
def allocate_host():
    """Returns the function that allocates a loopback IP address."""
    return _allocate_host


@pytest.fixture
def make_flags(tmp_path):
    """Returns a function that makes flags for an instance in a test folder."""

    def make(folder="instance", **changes):
        return _make_flags(tmp_path / folder, **changes)

    return make


@pytest.fixture
def start_daemon():
    """Returns a function that starts daemons; kills them after the test."""
    started = []

    def start(flags):
        started.append(_Daemon(flags))
        return started[-1]

    yield start
    for daemon in started:
        if daemon.process.poll() is None:
            daemon.process.kill()
        daemon.process.communicate()
