"""Problems found in user input, with their locations.

Validation collects all findings and reports them together.
"""

from collections.abc import Iterable
from typing import NamedTuple


class Location(NamedTuple):
    """Location of a finding.

    Attributes:
        source: File name, flag or environment variable.
        path: Path inside the document, such as `services[0].limits.burst`.
        line: Line number from 1, or 0 if the source has no lines.
    """

    source: str
    path: str = ""
    line: int = 0

    def format(self) -> str:
        """Formats the location as `source:line: path`."""
        text = self.source if not self.line else f"{self.source}:{self.line}"
        return f"{text}: {self.path}" if self.path else text


class Finding(NamedTuple):
    """One problem in user input."""

    place: Location
    message: str

    def format(self) -> str:
        """Formats the finding as one line."""
        return f"{self.place.format()}: {self.message}"


def format_findings(findings: Iterable[Finding]) -> str:
    """Formats all findings, one per line."""
    return "\n".join(finding.format() for finding in findings)
