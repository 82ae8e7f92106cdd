"""Loads YAML documents as plain values and records line numbers.

The line of each value lets findings of later checks point into the document.
Anchors, aliases and deep nesting are rejected to bound memory and time.
"""

from typing import Any
from typing import NamedTuple

import ruamel.yaml
from ruamel.yaml import nodes

from bamboosill_common import findings as findings_lib

Path = tuple[str | int, ...]
_YAML_TAG_PREFIX = "tag:yaml.org,2002:"
_MAX_DEPTH = 32


class Document(NamedTuple):
    """A loaded document.

    Attributes:
        source: File name for the findings.
        value: Plain Python value, or None if the document is unreadable.
        lines: Line number of each path, from 1.
        findings: Problems found while loading.
    """

    source: str
    value: Any
    lines: dict[Path, int]
    findings: tuple[findings_lib.Finding, ...]

    def make_finding(self, path: Path, message: str) -> findings_lib.Finding:
        """Returns a finding with the line of the path or its nearest parent."""
        known_path = path
        while known_path and known_path not in self.lines:
            known_path = known_path[:-1]
        place = findings_lib.Location(
            self.source, format_path(path), self.lines.get(known_path, 1)
        )
        return findings_lib.Finding(place, message)


def format_path(path: Path) -> str:
    """Formats a path, for example as `services[0].limits.burst`."""
    text = ""
    for part in path:
        if isinstance(part, int):
            text += f"[{part}]"
        else:
            text += f".{part}" if text else part
    return text


def load(text: str, source: str) -> Document:
    """Loads a YAML document; syntax errors become findings."""
    converter = _NodeConverter(source)
    if _measure_depth(text) > _MAX_DEPTH:
        return converter.make_unreadable_document(1, "is nested too deeply")
    try:
        node = ruamel.yaml.YAML(typ="rt", pure=True).compose(text)
        value = converter.convert(node, ()) if node is not None else None
    except ruamel.yaml.error.YAMLError as error:
        mark = getattr(error, "problem_mark", None)
        line = mark.line + 1 if mark else 1
        problem = getattr(error, "problem", None) or str(error)
        return converter.make_unreadable_document(
            line, f"is not valid YAML: {problem}"[:300]
        )
    except RecursionError:
        return converter.make_unreadable_document(1, "is nested too deeply")
    except (ValueError, AttributeError) as error:
        return converter.make_unreadable_document(
            1, f"cannot be read: {error}"[:300]
        )
    if value is None and not converter.collected_findings:
        return converter.make_unreadable_document(1, "is empty")
    return Document(
        source, value, converter.lines, tuple(converter.collected_findings)
    )


def _measure_depth(text: str) -> int:
    """Returns the bracket nesting depth.

    Checked before parsing, whose time grows with the square of the depth.
    """
    depth = deepest = 0
    for character in text:
        if character in "[{":
            depth += 1
            deepest = max(deepest, depth)
        elif character in "]}":
            depth -= 1
    return deepest


class _NodeConverter:
    """Converts YAML nodes to plain values and collects findings."""

    def __init__(self, source: str) -> None:
        self.source = source
        self.lines: dict[Path, int] = {}
        self.collected_findings: list[findings_lib.Finding] = []

    def make_unreadable_document(self, line: int, message: str) -> Document:
        place = findings_lib.Location(self.source, "", line)
        finding = findings_lib.Finding(place, message)
        return Document(
            self.source, None, {}, (*self.collected_findings, finding)
        )

    def convert(self, node: Any, path: Path) -> Any:
        self.lines.setdefault(path, node.start_mark.line + 1)
        if len(path) > _MAX_DEPTH:
            self._add_finding(node, path, "is nested too deeply")
            return None
        # Aliases would let a small document expand to a very large value.
        if node.anchor:
            self._add_finding(
                node, path, "has an anchor, which is not accepted"
            )
            return None
        if isinstance(node, nodes.MappingNode):
            return self._convert_mapping(node, path)
        if isinstance(node, nodes.SequenceNode):
            return [
                self.convert(each, (*path, index))
                for index, each in enumerate(node.value)
            ]
        return self._convert_scalar(node, path)

    def _convert_mapping(self, node: Any, path: Path) -> dict[str, Any]:
        values: dict[str, Any] = {}
        for key_node, value_node in node.value:
            key = str(key_node.value)
            value_path = (*path, key)
            if key in values:
                self._add_finding(key_node, value_path, "is given twice")
                continue
            self.lines[value_path] = key_node.start_mark.line + 1
            values[key] = self.convert(value_node, value_path)
        return values

    def _convert_scalar(self, node: Any, path: Path) -> Any:
        tag_name = str(node.tag).removeprefix(_YAML_TAG_PREFIX)
        text = str(node.value)
        try:
            if tag_name == "int":
                return int(text)
            if tag_name == "float":
                number = float(text)
                # Rejects infinity and NaN.
                if number - number != 0:
                    raise ValueError
                return number
        except ValueError:
            self._add_finding(node, path, f"{text!r} is not a decimal number")
            return None
        if tag_name == "bool":
            if text.lower() not in ("true", "false"):
                # YAML 1.1, which a document may ask for, has further words.
                self._add_finding(node, path, f"{text!r} is not true or false")
                return None
            return text.lower() == "true"
        return None if tag_name == "null" else text

    def _add_finding(self, node: Any, path: Path, message: str) -> None:
        place = findings_lib.Location(
            self.source, format_path(path), node.start_mark.line + 1
        )
        self.collected_findings.append(findings_lib.Finding(place, message))
