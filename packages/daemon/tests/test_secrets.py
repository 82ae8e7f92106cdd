"""Tests that no output of an instance contains a secret or a token."""

import json
import socket
import urllib.error
import urllib.request

import pytest

from bamboosill_common import auth
from bamboosill_common import clock

ROLES = ("instance", "operator", "upstream", "caller")


def exchange_bytes(address, data, half_close=True):
    """Sends bytes and returns all that is received until the peer closes."""
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=30) as connection:
        connection.sendall(data)
        if half_close:
            connection.shutdown(socket.SHUT_WR)
        received = b""
        while chunk := connection.recv(65536):
            received += chunk
    return received.decode(errors="replace")


def send_requests(address, token):
    """Returns the responses to valid, unauthorized and malformed requests."""
    responses = []
    for path in ("/v1/status", "/v1/announce", "/shopfront/x"):
        for header_line in (
            f"Authorization: Bearer {token}",
            f"Authorization: Bearer x{token}",
            f"Authorization: Basic {token}",
            f"Authorization: Bearer {token}\x00",
            f"Authorization\x01: Bearer {token}",
            f"Authorization Bearer {token}",
        ):
            request = (
                f"POST {path} HTTP/1.1\r\nHost: a\r\n{header_line}\r\n"
                "Bamboosill-Key: k\r\nContent-Length: 1\r\n"
                "Connection: close\r\n\r\n{"
            )
            responses.append(exchange_bytes(address, request.encode()))
    return responses


@pytest.mark.parametrize("level", ["debug", "info"])
def test_output_contains_no_secret_or_token(
    tmp_path, make_flags, start_daemon, level
):
    """Guards against secrets or tokens in logs, responses and metrics."""
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
            outputs += send_requests(flags[name], token)
    outputs.append(exchange_bytes(flags["peer_listen"], tokens[0].encode()))
    for path in ("/v1/events", "/metrics", "/readyz"):
        request = urllib.request.Request(
            f"http://{flags['admin_listen']}{path}",
            headers={"Authorization": f"Bearer {tokens[1]}"},
        )
        with urllib.request.urlopen(request, timeout=30) as response:
            outputs.append(response.read().decode())
    daemon.send_signal()
    daemon.send_signal()
    _, log = daemon.wait_for_exit()
    outputs.append(log)
    assert "Started." in log
    for text in outputs:
        assert "secret-of-" not in text
        # The header part is the same for tokens that the instance signs itself,
        # so this finds those too.
        for token in tokens:
            assert token.partition(".")[0] not in text, text[-3000:]
            assert token.rpartition(".")[2] not in text, text[-3000:]


@pytest.mark.parametrize(
    "name", ["admin_listen", "caller_listen", "upstream_listen"]
)
def test_malformed_request_is_not_quoted(make_flags, start_daemon, name):
    """Guards against an early error response that quotes a token.

    The HTTP parser rejects the request before any handler sees it.
    """
    flags = make_flags()
    daemon = start_daemon(flags)
    daemon.wait_ready()
    token = "token-of-somebody"
    request = (
        "GET /v1/status HTTP/1.1\r\nHost: a\r\n"
        f"Authorization: Bearer {token}\x00\r\n\r\n"
    )
    response = exchange_bytes(flags[name], request.encode(), half_close=False)
    assert " 400 " in response.partition("\r\n")[0]
    assert token not in response
