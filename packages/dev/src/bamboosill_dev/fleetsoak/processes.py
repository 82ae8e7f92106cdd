"""Starts the platform's programs as local processes.

Each process listens on a loopback address of its own, so that all of them can
use the same ports.
"""

import os
import pathlib
import re
import signal
import subprocess
import sys

ROOT = pathlib.Path(__file__).parents[5]
_CONTROL_PORT, _CALLER_PORT, _READINESS_PORT = 7000, 7001, 7002
_FIRST_INTERNAL_PORT, _LAST_INTERNAL_PORT = 7100, 7110
_STOP_TIMEOUT_S = 20.0
# Limits of the machines of pca-pilon, by role.
MEMORY_LIMITS_MB = {"entry": 300, "control": 296}


class Process:
    """One instance, which can be restarted under the same name and address.

    Only the first start of an instance sets `self.bootstrap`.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        number: int,
        role: str,
        network: str,
        *,
        zone: str = "z1",
        root: pathlib.Path = ROOT,
    ) -> None:
        """Creates an instance that is not running.

        Args:
            folder: Folder for its settings, log and data.
            number: Number within the network, part of its address.
            role: `entry` or `control`.
            network: First three numbers of its IP address.
            zone: Availability zone.
            root: Checkout of the code to run.
        """
        self.name = f"{role}-{number}"
        self.role = role
        self._zone = zone
        self._root = root
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
        is_entry = self.role == "entry"
        lines = [
            f"self.node_id={self.name}",
            f"self.serves={'edge' if is_entry else 'control_plane'}",
            f"self.ip={self.host}",
            f"self.zone={self._zone}",
            f"self.bootstrap={'true' if self._is_first else 'false'}",
            f"network.listen.front={self.caller_address}",
            f"network.listen.readiness={self.host}:{_READINESS_PORT}",
            f"network.listen.control={self.control_address}",
            f"network.internal_ports={_FIRST_INTERNAL_PORT},{_LAST_INTERNAL_PORT}",
            f"network.seeds={','.join(seeds)}",
            f"self.limits.memory_mb={MEMORY_LIMITS_MB[self.role]}",
            "platform.heartbeat=400ms",
            "terms.bounds.hold_max=10s",
            "terms.bounds.grace=6s",
            "terms.bounds.budget_slack=50",
            "terms.bounds.budget_window=10s",
            "terms.bounds.retry_budget_ratio=0.2",
            "terms.bounds.evacuate=5000ms",
            *(f"network.zones.z{number}=r1" for number in range(1, 4)),
        ]
        if not is_entry:
            lines.append(f"self.data_dir={self._folder / self.name}")
        path = self._folder / f"{self.name}.conf"
        path.write_text("\n".join(lines) + "\n")
        self._is_first = False
        log = self._log.open("ab")
        self._log_start = log.tell()
        self._child = subprocess.Popen(
            [
                sys.executable,
                str(self._root / "platform" / "main.py"),
                self.role,
            ],
            env={**os.environ, "BAMBOOSILL_SETTINGS": str(path)},
            cwd=self._root,
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

    def read_peak_mb(self) -> int:
        """Returns the most memory that the process has used, or 0."""
        if self._child is None or not self.is_running:
            return 0
        try:
            status = pathlib.Path(f"/proc/{self._child.pid}/status").read_text()
        except OSError:
            return 0
        found = re.search(r"^VmHWM:\s+(\d+) kB$", status, re.MULTILINE)
        return int(found[1]) // 1024 if found else 0

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
