"""YAML documents as plain values with the line of each part."""

from typing import Any
from typing import NamedTuple

import ruamel.yaml
from ruamel.yaml import nodes

from bamboosill_common import findings as findings_lib

Path = tuple[str | int, ...]
_TAG = "tag:yaml.org,2002:"
_MAX_DEPTH = 32


class Document(NamedTuple):
    """A document; `value` is None when it cannot be read at all."""

    source: str
    value: Any
    lines: dict[Path, int]
    findings: tuple[findings_lib.Finding, ...]

    def make_finding(self, path: Path, message: str) -> findings_lib.Finding:
        """Returns a finding at a path, or at its nearest known parent."""
        known = path
        while known and known not in self.lines:
            known = known[:-1]
        place = findings_lib.Location(
            self.source, format_path(path), self.lines.get(known, 1)
        )
        return findings_lib.Finding(place, message)


def format_path(path: Path) -> str:
    """Returns a path such as `services[0].limits.burst`."""
    text = ""
    for part in path:
        if isinstance(part, int):
            text += f"[{part}]"
        else:
            text += f".{part}" if text else part
    return text


def load(text: str, source: str) -> Document:
    """Returns a YAML document; faults of its syntax are its findings."""
    reader = _Reader(source)
    if _measure_depth(text) > _MAX_DEPTH:
        return reader.fail(1, "is nested too deeply")
    try:
        node = ruamel.yaml.YAML(typ="rt", pure=True).compose(text)
        value = reader.read(node, ()) if node is not None else None
    except ruamel.yaml.error.YAMLError as error:
        mark = getattr(error, "problem_mark", None)
        line = mark.line + 1 if mark else 1
        problem = getattr(error, "problem", None) or str(error)
        return reader.fail(line, f"is not valid YAML: {problem}"[:300])
    except RecursionError:
        return reader.fail(1, "is nested too deeply")
    except (ValueError, AttributeError) as error:
        return reader.fail(1, f"cannot be read: {error}"[:300])
    if value is None and not reader.found:
        return reader.fail(1, "is empty")
    return Document(source, value, reader.lines, tuple(reader.found))


def _measure_depth(text: str) -> int:
    """Returns the depth of brackets; the parser's time is its square."""
    depth = deepest = 0
    for mark in text:
        if mark in "[{":
            depth += 1
            deepest = max(deepest, depth)
        elif mark in "]}":
            depth -= 1
    return deepest


class _Reader:
    """Converts nodes to plain values."""

    def __init__(self, source: str) -> None:
        self.source = source
        self.lines: dict[Path, int] = {}
        self.found: list[findings_lib.Finding] = []

    def fail(self, line: int, message: str) -> Document:
        place = findings_lib.Location(self.source, "", line)
        finding = findings_lib.Finding(place, message)
        return Document(self.source, None, {}, (*self.found, finding))

    def read(self, node: Any, path: Path) -> Any:
        self.lines.setdefault(path, node.start_mark.line + 1)
        if len(path) > _MAX_DEPTH:
            self._add(node, path, "is nested too deeply")
            return None
        # An alias lets a small document stand for a very large one.
        if node.anchor:
            self._add(node, path, "has an anchor, which is not accepted")
            return None
        if isinstance(node, nodes.MappingNode):
            return self._read_mapping(node, path)
        if isinstance(node, nodes.SequenceNode):
            return [
                self.read(each, (*path, index))
                for index, each in enumerate(node.value)
            ]
        return self._read_scalar(node, path)

    def _read_mapping(self, node: Any, path: Path) -> dict[str, Any]:
        values: dict[str, Any] = {}
        for key_node, value_node in node.value:
            key = str(key_node.value)
            inner = (*path, key)
            if key in values:
                self._add(key_node, inner, "is given twice")
                continue
            self.lines[inner] = key_node.start_mark.line + 1
            values[key] = self.read(value_node, inner)
        return values

    def _read_scalar(self, node: Any, path: Path) -> Any:
        kind = str(node.tag).removeprefix(_TAG)
        text = str(node.value)
        try:
            if kind == "int":
                return int(text)
            if kind == "float":
                number = float(text)
                if number - number != 0:
                    raise ValueError
                return number
        except ValueError:
            self._add(node, path, f"{text!r} is not a decimal number")
            return None
        if kind == "bool":
            return text.lower() == "true"
        return None if kind == "null" else text

    def _add(self, node: Any, path: Path, message: str) -> None:
        place = findings_lib.Location(
            self.source, format_path(path), node.start_mark.line + 1
        )
        self.found.append(findings_lib.Finding(place, message))
