"""Tests that the operators' pages document reasons and log messages."""

import pathlib
import re

import pytest

from bamboosilld.entry import rejections

DOCS = pathlib.Path(__file__).parents[3] / "docs"
SOURCES = pathlib.Path(__file__).parents[1] / "src" / "bamboosilld"


def read_section(title):
    text = (DOCS / "operations.md").read_text()
    return text.partition(f"\n## {title}\n")[2].partition("\n## ")[0]


def list_refusal_reasons():
    """Returns the refusal reasons that the code sends to callers."""
    reasons = {case.reason for case in rejections._NOT_RUN_CASES.values()}
    reasons |= {case.reason for case in rejections._UNKNOWN_CASES.values()}
    reasons |= {case.reason for case in rejections._REFUSAL_CASES.values()}
    reasons |= {case[2] for case in rejections._RECORD_CASES.values()}
    for path in (SOURCES / "entry").glob("*.py"):
        reasons |= set(
            re.findall(r'refuse\(\s*\d{3}, "([a-z-]+)"', path.read_text())
        )
    return sorted(reasons)


def test_refusal_reasons_are_explained():
    """Guards against undocumented refusal reasons."""
    rows = re.findall(r"^\| (`.*?) \|", read_section("Refusal reasons"), re.M)
    explained = {name for row in rows for name in re.findall("`(.*?)`", row)}
    reasons = list_refusal_reasons()
    assert len(reasons) > 20
    assert set(reasons) <= explained
    # Every reason on the operators' page must also be on the callers' page.
    callers = (DOCS / "callers.md").read_text()
    assert {name for name in explained if f"`{name}`" not in callers} == set()


@pytest.mark.parametrize("path", ["zone/member.py", "instance.py"])
def test_readiness_reasons_are_explained(path):
    """Guards against undocumented readiness reasons."""
    text = (SOURCES / path).read_text()
    reasons = re.findall(r'return False, f?"([^"{]+)', text)
    reasons += re.findall(r'self\._state = "(\w+)"', text)
    reasons += re.findall(r'reasons\.append\(f"(\w+: )', text)
    assert reasons
    section = read_section("Readiness")
    for reason in reasons:
        assert reason in section


def test_warnings_are_explained():
    """Guards against undocumented warnings and errors in the log."""
    section = " ".join(read_section("Log lines").split())
    common_sources = SOURCES.parents[2] / "common" / "src" / "bamboosill_common"
    messages = [
        message
        for path in (*SOURCES.rglob("*.py"), *common_sources.rglob("*.py"))
        for message in re.findall(
            r'\b_?log\.(?:warning|error|exception)\(\s*"([^"]+)"',
            path.read_text(),
        )
    ]
    assert len(messages) > 10
    # The longest part of the first sentence without format arguments.
    fixed_parts = {
        max(re.split(r"%[sd]", each.partition(". ")[0]), key=len).strip(" .:")
        for each in messages
    }
    assert {each for each in fixed_parts if each not in section} == set()
