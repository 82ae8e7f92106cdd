"""Test settings shared by all packages."""

import pathlib
import re

import hypothesis
import pytest

hypothesis.settings.register_profile(
    "fixed", derandomize=True, deadline=None, database=None, max_examples=50
)
hypothesis.settings.load_profile("fixed")

_KNOWN_RED = pathlib.Path(__file__).parent / "KNOWN-RED.txt"
_NODE_ID = re.compile(r"^test: (\S.*)$", re.MULTILINE)


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Lets the tests that KNOWN-RED.txt names fail without failing the run."""
    if not _KNOWN_RED.exists():
        return
    known = set(_NODE_ID.findall(_KNOWN_RED.read_text()))
    for item in items:
        if item.nodeid in known:
            item.add_marker(
                pytest.mark.xfail(strict=False, reason="listed in KNOWN-RED")
            )


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter,
) -> None:
    """Prints the known failures."""
    for report in terminalreporter.stats.get("xfailed", []):
        terminalreporter.write_line(f"known red: {report.nodeid}")
