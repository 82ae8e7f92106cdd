"""The real programs as processes on loopback addresses of their own."""

import os
import pathlib
import signal
import subprocess
import sys

_ROOT = pathlib.Path(__file__).parents[5]
_PORT_API, _PORT_FRONT, _PORT_READY = 7000, 7001, 7002
_PORT_FIRST, _PORT_LAST = 7100, 7110
_STOP_TIMEOUT_S = 20.0


class Process:
    """One instance, started again with the same settings."""

    def __init__(
        self, folder: pathlib.Path, number: int, role: str, network: str
    ) -> None:
        self.name = f"{role}-{number}"
        self._role = role
        self._folder = folder
        host = f"{network}.{number}"
        self.api = f"{host}:{_PORT_API}"
        self.front = f"{host}:{_PORT_FRONT}"
        self._host = host
        self._network = network
        self._child: subprocess.Popen[bytes] | None = None
        self._is_first = True
        self._log = folder / f"{self.name}.log"
        self._log_start = 0

    def start(self, seeds: list[str]) -> None:
        """Starts the process."""
        is_entry = self._role == "entry"
        lines = [
            f"self.node_id={self.name}",
            f"self.serves={'edge' if is_entry else 'control_plane'}",
            f"self.ip={self._host}",
            "self.zone=z1",
            f"self.bootstrap={'true' if self._is_first else 'false'}",
            f"network.listen.front={self.front}",
            f"network.listen.readiness={self._host}:{_PORT_READY}",
            f"network.listen.control={self.api}",
            f"network.internal_ports={_PORT_FIRST},{_PORT_LAST}",
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
        """Whether the process exists."""
        return self._child is not None and self._child.poll() is None

    def has_started(self) -> bool:
        """Returns whether the process has said that it handles signals."""
        with self._log.open("rb") as log:
            log.seek(self._log_start)
            return b"process: Started." in log.read()

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal, if the process exists."""
        if self._child is not None and self.is_running:
            self._child.send_signal(number)

    def wait(self) -> int:
        """Waits for the end of the process and returns its exit code."""
        assert self._child is not None
        return self._child.wait(_STOP_TIMEOUT_S)

    def end(self) -> None:
        """Ends the process at once, also when it is paused."""
        self.signal(signal.SIGKILL)
        if self._child is not None:
            self.wait()
