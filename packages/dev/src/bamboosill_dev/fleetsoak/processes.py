"""Starts the platform's programs as local processes.

Each process listens on a loopback address of its own, so that all of them can
use the same ports.
"""

import os
import pathlib
import signal
import subprocess
import sys

_ROOT = pathlib.Path(__file__).parents[5]
_CONTROL_PORT, _CALLER_PORT, _READINESS_PORT = 7000, 7001, 7002
_FIRST_INTERNAL_PORT, _LAST_INTERNAL_PORT = 7100, 7110
_STOP_TIMEOUT_S = 20.0


class Process:
    """One instance, which can be restarted under the same name and address.

    Only the first start of an instance sets `self.bootstrap`.
    """

    def __init__(
        self, folder: pathlib.Path, number: int, role: str, network: str
    ) -> None:
        self.name = f"{role}-{number}"
        self._role = role
        self._folder = folder
        host = f"{network}.{number}"
        self.control_address = f"{host}:{_CONTROL_PORT}"
        self.caller_address = f"{host}:{_CALLER_PORT}"
        self.host = host
        self._network = network
        self._child: subprocess.Popen[bytes] | None = None
        self._is_first = True
        self._log = folder / f"{self.name}.log"
        self._log_start = 0

    def start(self, seeds: list[str]) -> None:
        """Writes the settings file and starts the process."""
        is_entry = self._role == "entry"
        lines = [
            f"self.node_id={self.name}",
            f"self.serves={'edge' if is_entry else 'control_plane'}",
            f"self.ip={self.host}",
            "self.zone=z1",
            f"self.bootstrap={'true' if self._is_first else 'false'}",
            f"network.listen.front={self.caller_address}",
            f"network.listen.readiness={self.host}:{_READINESS_PORT}",
            f"network.listen.control={self.control_address}",
            f"network.internal_ports={_FIRST_INTERNAL_PORT},{_LAST_INTERNAL_PORT}",
            f"network.seeds={','.join(seeds)}",
            "platform.heartbeat=400ms",
            "terms.bounds.hold_max=10s",
            "terms.bounds.grace=6s",
            "terms.bounds.budget_slack=50",
            "terms.bounds.retry_budget_ratio=0.2",
        ]
        if not is_entry:
            lines.append(f"self.data_dir={self._folder / self.name}")
        path = self._folder / f"{self.name}.conf"
        path.write_text("\n".join(lines) + "\n")
        self._is_first = False
        log = self._log.open("ab")
        self._log_start = log.tell()
        self._child = subprocess.Popen(
            [sys.executable, str(_ROOT / "platform" / "main.py"), self._role],
            env={**os.environ, "BAMBOOSILL_SETTINGS": str(path)},
            stdout=log,
            stderr=log,
        )
        log.close()

    @property
    def is_running(self) -> bool:
        """Whether the process was started and has not exited."""
        return self._child is not None and self._child.poll() is None

    def has_started(self) -> bool:
        """Returns whether the process has logged that it handles signals."""
        with self._log.open("rb") as log:
            log.seek(self._log_start)
            return b"process: Started." in log.read()

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal, if the process is running."""
        if self._child is not None and self.is_running:
            self._child.send_signal(number)

    def wait(self) -> int:
        """Waits for the process to exit and returns its exit code."""
        assert self._child is not None
        return self._child.wait(_STOP_TIMEOUT_S)

    def kill(self) -> None:
        """Kills the process with SIGKILL, which also ends a paused process."""
        self.signal(signal.SIGKILL)
        if self._child is not None:
            self.wait()
