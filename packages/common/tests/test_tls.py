"""Tests of TLS between instances and on the HTTP ports."""

import asyncio
import os
import ssl

import pytest
from returns.result import Failure
from returns.result import Success
import trustme

from bamboosill_common import auth
from bamboosill_common import clock
from bamboosill_common import events
from bamboosill_common import metrics
from bamboosill_common import peer
from bamboosill_common import tls
from bamboosill_common.generated import control

HOST = "127.0.0.1"


@pytest.fixture
def authority():
    return trustme.CA()


@pytest.fixture
def write_files(tmp_path, authority):
    """Writes PEM files of an instance, issued by the common CA by default."""

    def write(name, issuer=authority, trusted=authority):
        paths = tls.Files(
            *(
                str(tmp_path / f"{name}-{kind}")
                for kind in ("cert", "key", "ca")
            )
        )
        issued = issuer.issue_cert(HOST)
        chain = b"".join(each.bytes() for each in issued.cert_chain_pems)
        for path, data in zip(
            paths,
            (chain, issued.private_key_pem.bytes(), trusted.cert_pem.bytes()),
            strict=True,
        ):
            with open(path, "wb") as file:
                file.write(data)
        return paths

    return write


def make_context(name, contexts):
    system_clock = clock.SystemClock()
    return peer.PeerContext(
        peer.Identity(name, 1, "z"),
        auth.Authenticator("", system_clock),
        system_clock,
        events.Timeline(system_clock, name),
        contexts.client,
        contexts.peer_server,
    )


@pytest.fixture
async def start_server():
    servers = []

    async def start(contexts):
        handlers = peer.Handlers()

        @handlers.register(control.ZoneBeat)
        async def answer(message, hello):
            return control.ZoneBeatReply(revision=7)

        servers.append(peer.Server(make_context("server", contexts), handlers))
        return await servers[-1].start(HOST, 0)

    yield start
    for server in servers:
        await server.stop()


async def call(port, contexts):
    client = peer.Client(make_context("client", contexts), f"{HOST}:{port}")
    result = await client.call(control.ZoneBeat(), control.ZoneBeatReply, 10)
    await client.close()
    return result


def count_failures(port):
    return metrics.tls_failures.labels(port)._value.get()


async def read_serial(port, files):
    """Returns the serial number of the certificate that a server presents."""
    context = ssl.create_default_context(cafile=files.ca)
    context.load_cert_chain(files.cert, files.key)
    _, writer = await asyncio.open_connection(HOST, port, ssl=context)
    serial = writer.get_extra_info("peercert")["serialNumber"]
    writer.close()
    return serial


async def test_certificates_of_one_authority_work(write_files, start_server):
    """Guards against rejecting valid certificates."""
    port = await start_server(tls.Contexts(write_files("a")))
    result = await call(port, tls.Contexts(write_files("b")))
    assert isinstance(result, Success), result


@pytest.mark.parametrize("wrong_side", ["client", "server"])
async def test_certificate_of_another_authority_is_refused(
    write_files, start_server, authority, wrong_side
):
    """Guards against accepting instances with certificates of another CA."""
    other_authority = trustme.CA()
    untrusted_files = write_files("wrong", issuer=other_authority)
    trusted_files = write_files("right")
    sides = (
        (trusted_files, untrusted_files)
        if wrong_side == "client"
        else (untrusted_files, trusted_files)
    )
    server, client = map(tls.Contexts, sides)
    port = await start_server(server)
    failed_port = "peer" if wrong_side == "client" else "client"
    before = count_failures(failed_port)
    assert isinstance(await call(port, client), Failure)
    assert count_failures(failed_port) == before + 1


async def test_peer_without_certificate_is_refused(write_files, start_server):
    """Guards against peers that trust the CA but have no certificate."""
    files = write_files("a")
    port = await start_server(tls.Contexts(files))
    before = count_failures("peer")
    context = ssl.create_default_context(cafile=files.ca)
    reader, writer = await asyncio.open_connection(HOST, port, ssl=context)
    try:
        # In TLS 1.3 the client receives the rejection when it first reads.
        received = await reader.read(1)
    except OSError:
        received = b""
    assert not received
    writer.close()
    assert count_failures("peer") == before + 1


async def test_plain_text_closes_only_its_connection(write_files, start_server):
    """Guards against plain text that affects other connections."""
    contexts = tls.Contexts(write_files("a"))
    port = await start_server(contexts)
    client = peer.Client(make_context("client", contexts), f"{HOST}:{port}")
    first = await client.call(control.ZoneBeat(), control.ZoneBeatReply, 10)
    before = count_failures("peer")
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write(b"GET / HTTP/1.1\r\n\r\n")
    try:
        while await reader.read(4096):
            pass
    except ConnectionResetError:
        pass
    second = await client.call(control.ZoneBeat(), control.ZoneBeatReply, 10)
    assert isinstance(first, Success) and isinstance(second, Success)
    assert count_failures("peer") == before + 1
    writer.close()
    await client.close()


async def test_rotated_certificate_is_used(write_files, start_server):
    """Guards against using the old certificate after its replacement."""
    contexts = tls.Contexts(write_files("a"))
    port = await start_server(contexts)
    other = write_files("b")
    old = await read_serial(port, other)
    assert not contexts.reload()
    write_files("a")
    assert contexts.reload()
    assert await read_serial(port, other) != old


async def test_damaged_certificate_keeps_the_one_in_use(
    write_files, start_server
):
    """Guards against loading a half-written file, which breaks connections."""
    files = write_files("a")
    contexts = tls.Contexts(files)
    port = await start_server(contexts)
    other = write_files("b")
    old = await read_serial(port, other)
    # Replaces the certificate but not yet its key.
    os.replace(write_files("c").cert, files.cert)
    assert not contexts.reload()
    assert await read_serial(port, other) == old
    assert isinstance(await call(port, tls.Contexts(other)), Success)


def test_exposed_key_is_found(write_files):
    """Guards against private keys that all users can access."""
    files = write_files("a")
    os.chmod(files.key, 0o604)
    assert tls.find_world_readable((files.key, "")) == [files.key]
    os.chmod(files.key, 0o640)
    assert tls.find_world_readable((files.key, "")) == []
