"""Tests of the daemon as a process: startup errors, signals, data folder."""

import pathlib
import signal
import socket


def test_startup_errors_name_the_setting(
    tmp_path, make_flags, allocate_host, start_daemon
):
    """Guards against a traceback in place of the setting to correct."""
    damaged = tmp_path / "damaged"
    damaged.mkdir()
    (damaged / "identity").write_bytes(b"x" * 40)
    blocked = tmp_path / "file"
    blocked.write_text("")
    bad_keys = tmp_path / "keys.json"
    bad_keys.write_text("{")
    with socket.socket() as occupied:
        occupied.bind((allocate_host(), 0))
        occupied.listen()
        address = "{}:{}".format(*occupied.getsockname())
        cases = [
            ({"peer_listen": address}, 1, "--peer-listen", "in use"),
            ({"admin_listen": address}, 1, "--admin-listen", "in use"),
            ({"caller_listen": address}, 1, "--caller-listen", "in use"),
            ({"upstream_listen": address}, 1, "--upstream-listen", "in use"),
            ({"data_dir": damaged}, 1, "--data-dir", "identity"),
            ({"data_dir": blocked / "d"}, 1, "--data-dir", "created"),
            ({"key_file": bad_keys}, 2, "--key-file", "cannot be read"),
        ]
        daemons = [
            start_daemon(make_flags(str(number), **change))
            for number, (change, *_) in enumerate(cases)
        ]
        for daemon, (change, code, flag, text) in zip(
            daemons, cases, strict=True
        ):
            exit_code, errors = daemon.wait_for_exit()
            assert exit_code == code, (change, errors)
            matching_lines = [
                line
                for line in errors.splitlines()
                if line.startswith(f"{flag}: ") and text in line
            ]
            assert len(matching_lines) == 1, errors
            assert "Traceback" not in errors


def test_unavailable_listen_address_is_reported(
    tmp_path, make_flags, start_daemon
):
    """Guards against a traceback for an address this machine does not have."""
    keys = tmp_path / "keys.json"
    keys.write_text(
        '{"keys": [{"id": "a", "secret": "%s", "roles": ["instance"]}]}'
        % ("s" * 32)
    )
    # 192.0.2.0/24 is reserved for documentation (RFC 5737).
    flags = make_flags(admin_listen="192.0.2.1:7200", key_file=keys)
    code, errors = start_daemon(flags).wait_for_exit()
    assert code == 1
    assert "--admin-listen: 192.0.2.1:7200: this machine has no" in errors
    assert "Traceback" not in errors


def test_graceful_stop_and_data_folder_lock(make_flags, start_daemon):
    """Guards against dropped connections at shutdown, and a shared data folder.

    A stopping instance must report that it is not ready and still accept
    connections until load balancers have noticed. A data folder must not be
    used by two processes, nor by an instance with another id.
    """
    flags = make_flags()
    daemon = start_daemon(flags)
    daemon.wait_ready()
    second = make_flags("second", data_dir=flags["data_dir"])
    code, errors = start_daemon(second).wait_for_exit()
    assert code == 1
    assert "--data-dir" in errors and "another process" in errors
    daemon.send_signal()
    _, document = daemon.wait_for(lambda status, _: status == 503)
    assert document["reasons"] == ["stopping", "draining"]
    # Until load balancers have noticed, callers are still accepted.
    host, _, port = flags["caller_listen"].rpartition(":")
    socket.create_connection((host, int(port)), timeout=30).close()
    code, errors = daemon.wait_for_exit()
    assert code == 0, errors
    other = make_flags(instance_id="c2", data_dir=flags["data_dir"])
    other["control_peers"] = f"c2={other['peer_listen']}"
    code, errors = start_daemon(other).wait_for_exit()
    assert code == 1
    assert "--data-dir" in errors and "'c1'" in errors


def test_second_signal_terminates_immediately(make_flags, start_daemon):
    """Guards against a graceful shutdown that operators cannot abort."""
    daemon = start_daemon(make_flags())
    daemon.wait_ready()
    daemon.send_signal()
    daemon.wait_for(lambda status, _: status == 503)
    daemon.send_signal()
    code, errors = daemon.wait_for_exit()
    assert code == -signal.SIGTERM
    assert "Stopped." not in errors


def test_data_folder_is_private(make_flags, start_daemon):
    """Guards against contracts that other users of the machine can read."""
    flags = make_flags()
    daemon = start_daemon(flags)
    daemon.wait_ready()
    assert pathlib.Path(flags["data_dir"]).stat().st_mode & 0o077 == 0
