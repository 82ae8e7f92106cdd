"""Tests of starting and stopping the daemon as a process."""

import pathlib
import signal
import socket


def test_wrong_starts_name_their_place(
    tmp_path, make_flags, take_host, start_daemon
):
    """Guards against a traceback where an operator needs the setting."""
    damaged = tmp_path / "damaged"
    damaged.mkdir()
    (damaged / "identity").write_bytes(b"x" * 40)
    blocked = tmp_path / "file"
    blocked.write_text("")
    bad_keys = tmp_path / "keys.json"
    bad_keys.write_text("{")
    with socket.socket() as taken:
        taken.bind((take_host(), 0))
        taken.listen()
        address = "{}:{}".format(*taken.getsockname())
        cases = [
            ({"peer_listen": address}, 1, "--peer-listen", "in use"),
            ({"admin_listen": address}, 1, "--admin-listen", "in use"),
            ({"caller_listen": address}, 1, "--caller-listen", "in use"),
            ({"upstream_listen": address}, 1, "--upstream-listen", "in use"),
            ({"data_dir": damaged}, 1, "--data-dir", "identity"),
            ({"data_dir": blocked / "d"}, 1, "--data-dir", "created"),
            ({"key_file": bad_keys}, 2, "--key-file", "cannot be read"),
        ]
        running = [
            start_daemon(make_flags(str(number), **change))
            for number, (change, *_) in enumerate(cases)
        ]
        for daemon, (change, code, place, text) in zip(
            running, cases, strict=True
        ):
            ended, errors = daemon.end()
            assert ended == code, (change, errors)
            named = [
                line
                for line in errors.splitlines()
                if line.startswith(f"{place}: ") and text in line
            ]
            assert len(named) == 1, errors
            assert "Traceback" not in errors


def test_foreign_address_is_named(tmp_path, make_flags, start_daemon):
    """Guards against a traceback for an address of another machine."""
    keys = tmp_path / "keys.json"
    keys.write_text(
        '{"keys": [{"id": "a", "secret": "%s", "roles": ["instance"]}]}'
        % ("s" * 32)
    )
    # 192.0.2.0/24 is reserved for documentation (RFC 5737).
    flags = make_flags(admin_listen="192.0.2.1:7200", key_file=keys)
    code, errors = start_daemon(flags).end()
    assert code == 1
    assert "--admin-listen: 192.0.2.1:7200: this machine has no" in errors
    assert "Traceback" not in errors


def test_stop_and_data_folder(make_flags, start_daemon):
    """Guards against a stop before balancers know, and a shared folder."""
    flags = make_flags()
    daemon = start_daemon(flags)
    daemon.wait_ready()
    second = make_flags("second", data_dir=flags["data_dir"])
    code, errors = start_daemon(second).end()
    assert code == 1
    assert "--data-dir" in errors and "another process" in errors
    daemon.send()
    _, document = daemon.wait_for(lambda status, _: status == 503)
    assert document["reasons"] == ["stopping", "draining"]
    # Callers that balancers still send here are served during the notice.
    host, _, port = flags["caller_listen"].rpartition(":")
    socket.create_connection((host, int(port)), timeout=30).close()
    code, errors = daemon.end()
    assert code == 0, errors
    other = make_flags(instance_id="c2", data_dir=flags["data_dir"])
    other["control_peers"] = f"c2={other['peer_listen']}"
    code, errors = start_daemon(other).end()
    assert code == 1
    assert "--data-dir" in errors and "'c1'" in errors


def test_second_signal_stops_at_once(make_flags, start_daemon):
    """Guards against an operator who cannot end a long graceful stop."""
    daemon = start_daemon(make_flags())
    daemon.wait_ready()
    daemon.send()
    daemon.wait_for(lambda status, _: status == 503)
    daemon.send()
    code, errors = daemon.end()
    assert code == -signal.SIGTERM
    assert "Stopped." not in errors


def test_data_folder_is_private(make_flags, start_daemon):
    """Guards against contracts that all users of a machine can read."""
    flags = make_flags()
    daemon = start_daemon(flags)
    daemon.wait_ready()
    assert pathlib.Path(flags["data_dir"]).stat().st_mode & 0o077 == 0
