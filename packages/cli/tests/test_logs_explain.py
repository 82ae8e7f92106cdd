"""Tests of the command that merges the log lines around one request."""

import json

import pytest

from bamboosill import exit_codes
from bamboosill import main


def _make_line(time_s, instance, message, **fields):
    document = {"time": time_s, "instance": instance, "message": message}
    return json.dumps(document | fields)


@pytest.fixture
def logs(tmp_path):
    """Returns two log files, one with prefixes as a log collector adds them."""
    entry = [
        _make_line(
            20.5, "e1", "Send failed.", request="r1", upstream="u1", load=3
        ),
        _make_line(
            21.0, "e1", "Request ended.", request="r1", key=70, status=503
        ),
        _make_line(20.7, "e1", "Request ended.", request="r2", key=70),
        "not a line",
        "[]",
    ]
    control = [
        _make_line(19.0, "c1", "Keys.", ranges="0-63 64-99", upstream="u2"),
        _make_line(19.5, "c1", "Keys.", ranges="100-199", upstream="u3"),
        _make_line(20.0, "c1", "Upstream u1 leaves.", upstream="u1"),
        _make_line(1.0, "c1", "Upstream u1.", upstream="u1"),
    ]
    (tmp_path / "entry.log").write_text("\n".join(entry))
    (tmp_path / "control.log").write_text(
        "\n".join(f"  1.5 c1 {line}" for line in control)
    )
    return [str(tmp_path / "entry.log"), str(tmp_path / "control.log")]


def _run(capsys, *arguments):
    code = main.main(["logs", "explain", *arguments, "--json"])
    output = capsys.readouterr().out
    selected = json.loads(output)["lines"] if output else []
    return code, [line["time"] for line in selected]


def test_request_is_shown_with_its_keys_and_upstreams(logs, capsys):
    """Guards against omitting the cause logged by another process."""
    code, times = _run(capsys, *logs, "--request", "r1")
    assert code == exit_codes.OK
    assert times == [19.0, 20.0, 20.5, 21.0]


@pytest.mark.parametrize(
    ("arguments", "expected"),
    [
        (("--upstream", "u1"), [1.0, 20.0, 20.5]),
        (("--upstream", "u1", "--since", "2"), [20.0, 20.5]),
        (("--key", "150"), [19.5]),
        (("--key", "70", "--until", "20.8"), [19.0, 20.7]),
    ],
)
def test_lines_are_found_by_upstream_key_and_time(
    logs, capsys, arguments, expected
):
    """Guards against a result that omits the lines of one process."""
    assert _run(capsys, *logs, *arguments) == (exit_codes.OK, expected)


def test_the_history_of_a_key_shows_ranges_and_fences(logs, tmp_path, capsys):
    """Guards against calls that cannot be told apart by their grants."""
    line = _make_line(
        19.8, "c1", "Grant of keys of s not done.", ranges="100-199", fence=41
    )
    (tmp_path / "calls.log").write_text(line)
    arguments = [*logs, str(tmp_path / "calls.log"), "--key", "150"]
    assert main.main(["logs", "explain", *arguments]) == exit_codes.OK
    output = capsys.readouterr().out
    assert "ranges=100-199" in output
    assert "fence=41" in output


def test_unknown_request_is_refused(logs, capsys):
    """Guards against exit code 0 when no line matches."""
    code, _ = _run(capsys, *logs, "--request", "r9")
    assert code == exit_codes.REFUSED


@pytest.mark.parametrize(
    "line",
    [
        _make_line(19.8, "x", "Other.", ranges="150"),
        _make_line(19.8, "x", "Other.", ranges="150- a-b -"),
        _make_line("soon", "x", "Other.", key=150),
        json.dumps({"message": "No time.", "key": 1}),
    ],
)
def test_lines_of_another_form_are_no_error(logs, tmp_path, capsys, line):
    """Guards against a traceback because of one line."""
    (tmp_path / "other.log").write_text(line)
    files = [*logs, str(tmp_path / "other.log")]
    code, times = _run(capsys, *files, "--key", "150")
    assert code == exit_codes.OK
    assert times in ([19.5], [19.5, 19.8])


def test_a_missing_file_is_a_usage_error(logs, tmp_path, capsys):
    """Guards against a traceback in place of one line."""
    missing = str(tmp_path / "missing.log")
    code = main.main(["logs", "explain", *logs, missing, "--key", "150"])
    assert code == exit_codes.USAGE
    assert capsys.readouterr().err.strip().splitlines() == [
        f"{missing}: No such file or directory"
    ]
