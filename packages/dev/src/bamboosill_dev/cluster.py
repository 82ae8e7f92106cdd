"""Runs a whole system as local processes.

Each instance has its own IP address in 127.0.0.0/8, so that all can use the
same ports and a relay can identify an instance by its source address.
"""

import asyncio
from collections.abc import Mapping
from collections.abc import Sequence
import json
import os
import pathlib
import random
import secrets
import signal
import sys
from typing import Any
from typing import NamedTuple

import aiohttp

from bamboosill_common import auth
from bamboosill_common import clock as clock_lib
from bamboosill_dev import caller as caller_lib

PEER_PORT = 7100
ADMIN_PORT = 7200
CALLER_PORT = 7300
UPSTREAM_PORT = 7400
SERVICE_PORT = 7500
_READY_POLL_S = 0.1
_STOP_TIMEOUT_S = 15.0
_KEY_ROLES = ("instance", "operator", "upstream", "caller")


class InstanceSpec(NamedTuple):
    """Name, zone, roles and address of one instance."""

    name: str
    zone: str
    roles: tuple[str, ...]
    host: str


class UpstreamSpec(NamedTuple):
    """Settings of one stand-in upstream."""

    name: str
    service: str
    zone: str
    host: str
    slots: int
    connections: int
    checks_fences: bool = True


class Process:
    """A child process, with the name of its instance or upstream."""

    def __init__(self, name: str, process: asyncio.subprocess.Process) -> None:
        self.name = name
        self._process = process

    @property
    def pid(self) -> int:
        """Id of the process."""
        return self._process.pid

    @property
    def returncode(self) -> int | None:
        """Exit code, or None while the process runs."""
        return self._process.returncode

    def send(self, signal_number: signal.Signals) -> None:
        """Sends a signal, if the process is running."""
        if self._process.returncode is None:
            self._process.send_signal(signal_number)

    async def wait(self, timeout_s: float = _STOP_TIMEOUT_S) -> int | None:
        """Returns the exit code, or None after the timeout."""
        try:
            return await asyncio.wait_for(self._process.wait(), timeout_s)
        except TimeoutError:
            return None

    async def stop(self) -> None:
        """Stops the process gracefully, and kills it after a timeout."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGTERM)
        if await self.wait() is None:
            self.send(signal.SIGKILL)
            await self.wait()


class Cluster:
    """The processes of one system.

    Attributes:
        instances: Specification of each instance by name.
        upstreams: Specification of each upstream by name.
        processes: Latest process of each instance and upstream by name.
        folder: Directory of data, logs and records.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        zones: Sequence[str],
        entries_per_zone: int = 2,
        control_zones: Sequence[str] | None = None,
        seed: int = 1,
        advertised: Mapping[str, Mapping[str, str]] | None = None,
    ) -> None:
        self.folder = folder
        self.zones = tuple(zones)
        self.seed = seed
        self.instances: dict[str, InstanceSpec] = {}
        self.upstreams: dict[str, UpstreamSpec] = {}
        self.processes: dict[str, Process] = {}
        # Addresses of relays, which instances advertise in place of their own.
        self.advertised = dict(advertised or {})
        self._network = (
            f"127.{10 + os.getpid() % 200}.{os.getpid() // 200 % 250}"
        )
        self._next_host = 0
        for index, zone in enumerate(control_zones or zones):
            self._add_instance(f"control-{index + 1}", zone, ("control",))
        for zone in zones:
            for number in range(1, entries_per_zone + 1):
                self._add_instance(f"entry-{zone}-{number}", zone, ("entry",))
        folder.mkdir(parents=True, exist_ok=True)
        self.key_file = folder / "keys.json"
        self._write_keys()

    def allocate_host(self) -> str:
        """Returns an IP address that nothing else in this cluster uses."""
        self._next_host += 1
        return f"{self._network}.{self._next_host}"

    def _add_instance(
        self, name: str, zone: str, roles: tuple[str, ...]
    ) -> None:
        self.instances[name] = InstanceSpec(
            name, zone, roles, self.allocate_host()
        )

    def _write_keys(self) -> None:
        keys = [
            {"id": role, "secret": secrets.token_hex(32), "roles": [role]}
            for role in _KEY_ROLES
        ]
        self.key_file.write_text(json.dumps({"keys": keys}))

    def get_peer_address(self, name: str) -> str:
        """Returns the peer address that other instances use for an instance."""
        own_address = f"{self.instances[name].host}:{PEER_PORT}"
        return self.advertised.get(name, {}).get("peer", own_address)

    def get_admin_address(self, name: str) -> str:
        """Returns the admin address of an instance."""
        return f"{self.instances[name].host}:{ADMIN_PORT}"

    def get_caller_address(self, name: str) -> str:
        """Returns the caller address of an instance."""
        return f"{self.instances[name].host}:{CALLER_PORT}"

    def list_instances(self, role: str, zone: str = "") -> list[InstanceSpec]:
        """Returns the instances with a role, of all zones or of one."""
        return [
            spec
            for spec in self.instances.values()
            if role in spec.roles and (not zone or spec.zone == zone)
        ]

    async def start_instance(self, name: str) -> Process:
        """Starts one instance."""
        spec = self.instances[name]
        peers = ",".join(
            f"{each.name}={self.get_peer_address(each.name)}"
            for each in self.list_instances("control")
        )
        flags = {
            "instance-id": name,
            "zone": spec.zone,
            "roles": ",".join(spec.roles),
            "peer-listen": f"{spec.host}:{PEER_PORT}",
            "admin-listen": f"{spec.host}:{ADMIN_PORT}",
            "control-peers": peers,
            "key-file": str(self.key_file),
            "shards-per-keyspace": "64",
        }
        advertised = self.advertised.get(name, {})
        for kind in ("peer", "caller"):
            if kind in advertised:
                flags[f"{kind}-advertise"] = advertised[kind]
        if "entry" in spec.roles:
            flags["caller-listen"] = f"{spec.host}:{CALLER_PORT}"
            flags["upstream-listen"] = f"{spec.host}:{UPSTREAM_PORT}"
        if "control" in spec.roles:
            flags["data-dir"] = str(self.folder / f"data-{name}")
        command = [sys.executable, "-m", "bamboosilld.main"]
        command += [f"--{flag}={value}" for flag, value in flags.items()]
        return await self._start(name, command)

    async def start_upstream(
        self,
        name: str,
        service: str,
        zone: str,
        slots: int = 6,
        connections: int = 110,
        checks_fences: bool = True,
        extra: Sequence[str] = (),
    ) -> Process:
        """Starts or restarts a stand-in upstream.

        A restarted upstream keeps the settings of its first start, except for
        `extra`.
        """
        spec = self.upstreams.get(name) or UpstreamSpec(
            name,
            service,
            zone,
            self.allocate_host(),
            slots,
            connections,
            checks_fences,
        )
        self.upstreams[name] = spec
        entries = ",".join(
            f"{each.host}:{UPSTREAM_PORT}"
            for each in self.list_instances("entry", spec.zone)
        )
        command = [
            *(sys.executable, "-m", "bamboosill_dev.upstream"),
            f"--id={name}",
            f"--service={spec.service}",
            f"--zone={spec.zone}",
            f"--listen={spec.host}:{SERVICE_PORT}",
            f"--entries={entries}",
            f"--slots={spec.slots}",
            f"--connections={spec.connections}",
            f"--record={self.get_record_path(name)}",
            f"--key-file={self.key_file}",
        ]
        if not spec.checks_fences:
            command.append("--no-fences")
        return await self._start(name, [*command, *extra])

    def get_record_path(self, upstream: str) -> pathlib.Path:
        """Returns the file in which an upstream records executed requests."""
        return self.folder / f"record-{upstream}.jsonl"

    async def _start(self, name: str, command: Sequence[str]) -> Process:
        with (self.folder / f"log-{name}.jsonl").open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                *command,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.processes[name] = Process(name, process)
        return self.processes[name]

    async def start_all_instances(self) -> None:
        """Starts all instances."""
        for name in self.instances:
            await self.start_instance(name)

    async def wait_ready(self, names: Sequence[str], timeout_s: float) -> None:
        """Waits until each instance answers /readyz with 200.

        Raises:
            RuntimeError: An instance exited or was not ready in time.
        """
        async with aiohttp.ClientSession() as session:
            for name in names:
                try:
                    async with asyncio.timeout(timeout_s):
                        await self._wait_instance_ready(session, name)
                except TimeoutError as error:
                    raise RuntimeError(
                        f"instance {name} was not ready in time"
                    ) from error

    async def _wait_instance_ready(
        self, session: aiohttp.ClientSession, name: str
    ) -> None:
        url = f"http://{self.get_admin_address(name)}/readyz"
        while True:
            if self.processes[name].returncode is not None:
                raise RuntimeError(
                    f"instance {name} exited before it was ready"
                )
            try:
                async with session.get(url) as answer:
                    if answer.status == 200:
                        return
            except aiohttp.ClientError:
                pass
            await asyncio.sleep(_READY_POLL_S)

    async def run_operator(
        self, *arguments: str, timeout_s: float = 10.0
    ) -> tuple[int, str]:
        """Runs an operator command and returns its exit code and output."""
        admin_addresses = ",".join(
            self.get_admin_address(each.name)
            for each in self.list_instances("control")
        )
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "bamboosill.main"),
            *arguments,
            f"--instances={admin_addresses}",
            f"--key-file={self.key_file}",
            f"--timeout-s={timeout_s}",
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        output, _ = await process.communicate()
        return process.returncode or 0, output.decode()

    async def run_operator_json(self, *arguments: str) -> Any:
        """Runs an operator command with --json and returns its document."""
        code, output = await self.run_operator(*arguments, "--json")
        if code != 0:
            raise RuntimeError(
                f"command '{' '.join(arguments)}' failed: {output}"
            )
        return json.loads(output)

    def make_callers(
        self, customers: Sequence[str], rng: random.Random
    ) -> dict[str, caller_lib.Caller]:
        """Returns a caller for each customer, using all entry instances."""
        authenticator = auth.Authenticator(
            str(self.key_file), clock_lib.SystemClock()
        )
        entries = [
            self.get_caller_address(spec.name)
            for spec in self.list_instances("entry")
        ]
        return {
            customer: caller_lib.Caller(
                lambda: rng.choice(entries),
                random.Random(rng.getrandbits(32)),
                token=authenticator.sign("caller", customer),
            )
            for customer in customers
        }

    async def stop(self) -> None:
        """Stops all processes.

        Upstreams are killed, because a graceful stop would wait for other
        upstreams, which stop as well, to take over the keys.
        """
        for name in self.upstreams:
            self.processes[name].send(signal.SIGKILL)
        await asyncio.gather(
            *(process.stop() for process in self.processes.values())
        )
