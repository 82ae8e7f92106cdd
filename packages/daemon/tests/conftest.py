"""An instance in a process of its own, on an IP number of its own."""

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

# Ends a test that hangs; nothing is measured by it.
_HANG_S = 120
_numbers = itertools.count(1)


def _take_host():
    """Returns an IP number that no other test process uses."""
    process = os.getpid()
    return (
        f"127.{210 + process % 40}.{process // 40 % 250}.{next(_numbers) % 250}"
    )


def _make_flags(folder, **changes):
    """Returns the settings of an instance with both roles."""
    host = _take_host()
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
    """One running instance."""

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

    def end(self):
        """Returns exit code and standard error once the process ends."""
        _, errors = self.process.communicate(timeout=_HANG_S)
        return self.process.returncode, errors

    def get(self, path):
        """Returns status and document of a request to the admin port."""
        url = f"http://{self.flags['admin_listen']}{path}"
        try:
            with urllib.request.urlopen(url, timeout=10) as answer:
                return answer.status, json.load(answer)
        except urllib.error.HTTPError as error:
            return error.code, json.load(error)
        except OSError:
            return 0, {}

    def wait_for(self, condition):
        """Waits until the readiness answer fulfils a condition."""
        end = time.monotonic() + _HANG_S
        while time.monotonic() < end:
            answer = self.get("/readyz")
            if condition(*answer):
                return answer
            if self.process.poll() is not None:
                raise AssertionError(self.process.stderr.read())
            time.sleep(0.05)
        raise AssertionError("never in the state that the test waits for")

    def wait_ready(self):
        """Waits until the instance is ready."""
        self.wait_for(lambda status, document: status == 200)

    def send(self, number=signal.SIGTERM):
        """Sends a signal."""
        self.process.send_signal(number)


@pytest.fixture
def take_host():
    """Returns the function that takes an IP number."""
    return _take_host


@pytest.fixture
def make_flags(tmp_path):
    """Makes settings; the data folder is in a folder of the test."""

    def make(folder="instance", **changes):
        return _make_flags(tmp_path / folder, **changes)

    return make


@pytest.fixture
def start_daemon():
    """Starts instances and ends them after the test."""
    started = []

    def start(flags):
        started.append(_Daemon(flags))
        return started[-1]

    yield start
    for daemon in started:
        if daemon.process.poll() is None:
            daemon.process.kill()
        daemon.process.communicate()
