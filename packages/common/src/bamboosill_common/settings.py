"""Loads and validates settings from command-line flags and the environment.

A flag overrides its environment variable, which overrides the default. All
problems are collected as findings and reported together.
"""

import argparse
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import ipaddress
import math
import pathlib
from typing import Any
from typing import NamedTuple

from returns.result import Failure
from returns.result import Success

from bamboosill_common import auth
from bamboosill_common import findings
from bamboosill_common import tls
from bamboosill_common.generated import settings as generated

_MAX_PORT = 65535


class Source(NamedTuple):
    """The raw text of a setting and its origin."""

    text: str
    place: findings.Location


class Loaded(NamedTuple):
    """Converted settings, their sources and all findings about them.

    Attributes:
        values: Values by setting name; invalid settings are absent.
        sources: Source of every setting by name.
        findings: All problems found.
    """

    values: dict[str, Any]
    sources: dict[str, Source]
    findings: list[findings.Finding]


def get_flag(name: str) -> str:
    """Returns the command-line flag of a setting."""
    return "--" + name.replace("_", "-")


def get_variable(name: str) -> str:
    """Returns the environment variable of a setting."""
    return "BAMBOOSILL_" + name.upper()


def add_flags(
    parser: argparse.ArgumentParser, specs: Sequence[generated.Setting]
) -> None:
    """Adds the flag of each setting to an argument parser."""
    for spec in specs:
        default = f" Default: {spec.default}." if spec.default else ""
        help_text = f"{spec.help}{default} [{get_variable(spec.name)}]"
        parser.add_argument(
            get_flag(spec.name),
            dest=spec.name,
            metavar=spec.type.upper(),
            help=help_text.replace("%", "%%"),
        )


def load_settings(
    specs: Sequence[generated.Setting],
    flags: Mapping[str, str | None],
    environment: Mapping[str, str],
) -> Loaded:
    """Reads, converts and validates each setting by itself."""
    loaded = Loaded({}, {}, [])
    for spec in specs:
        source = _find_source(spec, flags, environment)
        loaded.sources[spec.name] = source
        if spec.required and not source.text:
            loaded.findings.append(
                findings.Finding(
                    source.place,
                    f"is required; set it or {get_variable(spec.name)}",
                )
            )
            continue
        _convert_setting(spec, source, loaded)
    return loaded


def _find_source(
    spec: generated.Setting,
    flags: Mapping[str, str | None],
    environment: Mapping[str, str],
) -> Source:
    flag = flags.get(spec.name)
    if flag is not None:
        return Source(flag, findings.Location(get_flag(spec.name)))
    variable = get_variable(spec.name)
    if variable in environment:
        return Source(environment[variable], findings.Location(variable))
    place = get_flag(spec.name) if spec.required else "default"
    return Source(spec.default, findings.Location(place, spec.name))


def _convert_setting(
    spec: generated.Setting, source: Source, loaded: Loaded
) -> None:
    problem = ""
    value: Any = source.text
    try:
        if spec.type == "int":
            value = int(source.text)
        elif spec.type == "float":
            value = float(source.text)
        elif spec.type == "list":
            value = tuple(
                part.strip() for part in source.text.split(",") if part.strip()
            )
        elif spec.type == "address" and source.text:
            split_address(source.text)
    except ValueError as error:
        problem = f"{source.text!r} is no {spec.type}: {error}"
    if not problem and spec.type in ("int", "float"):
        problem = _check_range(spec, value)
    if not problem and spec.choices:
        for part in value if spec.type == "list" else (value,):
            if part not in spec.choices:
                problem = f"{part!r} is not one of {', '.join(spec.choices)}"
    if problem:
        loaded.findings.append(findings.Finding(source.place, problem))
    else:
        loaded.values[spec.name] = value


def _check_range(spec: generated.Setting, value: float) -> str:
    if isinstance(value, float) and not math.isfinite(value):
        return f"{value} is no finite number"
    if spec.minimum is not None and value < spec.minimum:
        return f"{value} is below {spec.minimum}"
    if spec.maximum is not None and value > spec.maximum:
        return f"{value} is above {spec.maximum}"
    return ""


def split_address(text: str) -> tuple[str, int]:
    """Splits `IP:port` into its IP address and port.

    Raises:
        ValueError: The text is not a valid address.
    """
    host, _, port = text.rpartition(":")
    ipaddress.ip_address(host)
    port_number = int(port)
    if not 0 <= port_number <= _MAX_PORT:
        raise ValueError(f"port {port_number} is out of range")
    return host, port_number


def check_daemon(loaded: Loaded) -> None:
    """Adds findings about combinations of daemon settings."""
    values = loaded.values
    roles = values.get("roles", ())

    def require(name: str, reason: str) -> None:
        if not values.get(name):
            place = findings.Location(get_flag(name))
            loaded.findings.append(findings.Finding(place, reason))

    if "entry" in roles:
        require("caller_listen", "is required for the entry role")
        require("upstream_listen", "is required for the entry role")
    if "control" in roles:
        require("data_dir", "is required for the control role")
    _check_files(loaded, require)
    _check_control_peers(loaded)
    if not values.get("key_file"):
        _check_loopback(loaded)


def _check_files(loaded: Loaded, require: Callable[[str, str], None]) -> None:
    values = loaded.values
    tls_names = ("tls_cert", "tls_key", "tls_ca")
    set_names = [name for name in tls_names if values.get(name)]
    if set_names:
        for name in tls_names:
            require(name, f"is required together with {get_flag(set_names[0])}")
    has_missing_file = False
    for name in ("key_file", *tls_names):
        path = values.get(name)
        if path and not pathlib.Path(path).is_file():
            has_missing_file = True
            loaded.findings.append(
                findings.Finding(
                    loaded.sources[name].place, f"{path}: no such file"
                )
            )
    if has_missing_file:
        return
    if values.get("key_file"):
        _check_key_file(loaded, values["key_file"])
    if len(set_names) == len(tls_names):
        problem = tls.check_files(*(values[name] for name in tls_names))
        if problem:
            place = loaded.sources["tls_cert"].place
            loaded.findings.append(findings.Finding(place, problem))


def _check_key_file(loaded: Loaded, path: str) -> None:
    place = loaded.sources["key_file"].place
    match auth.load_keys(pathlib.Path(path)):
        case Failure(detail):
            loaded.findings.append(findings.Finding(place, detail))
        case Success(keys) if not any("instance" in key.roles for key in keys):
            detail = f"{path}: has no key of role instance"
            loaded.findings.append(findings.Finding(place, detail))


def _check_control_peers(loaded: Loaded) -> None:
    member_names = set()
    for part in loaded.values.get("control_peers", ()):
        name, _, address = part.partition("=")
        try:
            split_address(address)
        except ValueError:
            place = loaded.sources["control_peers"].place
            loaded.findings.append(
                findings.Finding(place, f"{part!r} is not name=IP:port")
            )
        member_names.add(name)
    if (
        "control" in loaded.values.get("roles", ())
        and loaded.values.get("control_start") != "join"
        and loaded.values.get("instance_id") not in member_names
    ):
        place = loaded.sources["control_peers"].place
        loaded.findings.append(
            findings.Finding(place, "does not name this instance")
        )


def _check_loopback(loaded: Loaded) -> None:
    listen_settings = (
        "peer_listen",
        "admin_listen",
        "caller_listen",
        "upstream_listen",
    )
    for name in listen_settings:
        address = loaded.values.get(name)
        if not address:
            continue
        host, _ = split_address(address)
        if not ipaddress.ip_address(host).is_loopback:
            loaded.findings.append(
                findings.Finding(
                    loaded.sources[name].place,
                    f"{address} is not a loopback address; without --key-file "
                    "only those are allowed",
                )
            )


def format_settings(loaded: Loaded) -> str:
    """Returns one line for each setting with its text and source."""
    return "\n".join(
        f"{name} = {source.text!r}  ({source.place.format()})"
        for name, source in loaded.sources.items()
    )
