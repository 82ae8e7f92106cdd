"""Test that secrets and tokens appear in no output of an instance."""

import json
import socket
import urllib.error
import urllib.request

import pytest

from bamboosill_common import auth
from bamboosill_common import clock

ROLES = ("instance", "operator", "upstream", "caller")


def send(address, data, half_close=True):
    """Sends bytes and returns what comes back until the end."""
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=30) as stream:
        stream.sendall(data)
        if half_close:
            stream.shutdown(socket.SHUT_WR)
        received = b""
        while chunk := stream.recv(65536):
            received += chunk
    return received.decode(errors="replace")


def make_requests(address, token):
    """Returns what is answered to right, wrong and malformed requests."""
    answers = []
    for path in ("/v1/status", "/v1/announce", "/shopfront/x"):
        for line in (
            f"Authorization: Bearer {token}",
            f"Authorization: Bearer x{token}",
            f"Authorization: Basic {token}",
            f"Authorization: Bearer {token}\x00",
            f"Authorization\x01: Bearer {token}",
            f"Authorization Bearer {token}",
        ):
            request = (
                f"POST {path} HTTP/1.1\r\nHost: a\r\n{line}\r\n"
                "Bamboosill-Key: k\r\nContent-Length: 1\r\n"
                "Connection: close\r\n\r\n{"
            )
            answers.append(send(address, request.encode()))
    return answers


@pytest.mark.parametrize("level", ["debug", "info"])
def test_no_secret_or_token_is_put_out(
    tmp_path, make_flags, start_daemon, level
):
    """Guards against logs from which a secret or token can be taken."""
    keys = tmp_path / "keys.json"
    secrets = {role: f"secret-of-{role}-" + "s" * 32 for role in ROLES}
    keys.write_text(
        json.dumps(
            {
                "keys": [
                    {"id": role, "secret": secret, "roles": [role]}
                    for role, secret in secrets.items()
                ]
            }
        )
    )
    flags = make_flags(log_level=level, key_file=keys)
    daemon = start_daemon(flags)
    daemon.wait_ready()
    signer = auth.Authenticator(str(keys), clock.SystemClock())
    tokens = [signer.sign(role, "somebody") for role in ROLES]
    outputs = []
    for name in ("admin_listen", "caller_listen", "upstream_listen"):
        for token in tokens:
            outputs += make_requests(flags[name], token)
    outputs.append(send(flags["peer_listen"], tokens[0].encode()))
    for path in ("/v1/events", "/metrics", "/readyz"):
        request = urllib.request.Request(
            f"http://{flags['admin_listen']}{path}",
            headers={"Authorization": f"Bearer {tokens[1]}"},
        )
        with urllib.request.urlopen(request, timeout=30) as answer:
            outputs.append(answer.read().decode())
    daemon.send()
    daemon.send()
    _, log = daemon.end()
    outputs.append(log)
    assert "Started." in log
    for text in outputs:
        assert "secret-of-" not in text
        # The head of every token, also of those that the instance signs.
        for token in tokens:
            assert token.partition(".")[0] not in text, text[-3000:]
            assert token.rpartition(".")[2] not in text, text[-3000:]


@pytest.mark.parametrize(
    "name", ["admin_listen", "caller_listen", "upstream_listen"]
)
def test_a_malformed_request_is_not_quoted(make_flags, start_daemon, name):
    """Guards against an answer that repeats a token, when it is early."""
    flags = make_flags()
    daemon = start_daemon(flags)
    daemon.wait_ready()
    token = "token-of-somebody"
    request = (
        "GET /v1/status HTTP/1.1\r\nHost: a\r\n"
        f"Authorization: Bearer {token}\x00\r\n\r\n"
    )
    answer = send(flags[name], request.encode(), half_close=False)
    assert " 400 " in answer.partition("\r\n")[0]
    assert token not in answer
