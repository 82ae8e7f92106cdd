"""Findings about user input, each with its place, reported together."""

from collections.abc import Iterable
from typing import NamedTuple


class Location(NamedTuple):
    """Where a finding is.

    Attributes:
        source: File name, flag or environment variable.
        path: Path inside the document, such as `services[0].limits.burst`.
        line: Line number from 1, or 0 where there is none.
    """

    source: str
    path: str = ""
    line: int = 0

    def format(self) -> str:
        """Returns the place as `source:line: path`."""
        text = self.source if not self.line else f"{self.source}:{self.line}"
        return f"{text}: {self.path}" if self.path else text


class Finding(NamedTuple):
    """One fault in user input."""

    place: Location
    message: str

    def format(self) -> str:
        """Returns the finding as one line."""
        return f"{self.place.format()}: {self.message}"


def format_findings(findings: Iterable[Finding]) -> str:
    """Returns all findings, one a line."""
    return "\n".join(finding.format() for finding in findings)
