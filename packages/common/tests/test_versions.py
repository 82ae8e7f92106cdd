"""Tests of compatibility between protocol versions.

The tests send hand-made frames, as a process of another version would.
"""

import asyncio
import json
import struct

import capnp
import pytest

from bamboosill_common import auth
from bamboosill_common import clock
from bamboosill_common import events
from bamboosill_common import metrics
from bamboosill_common import peer
from bamboosill_common import wire
from bamboosill_common.generated import control
from bamboosill_common.generated import peer as messages

_RECEIVE_TIMEOUT_S = 60
# A later version of the Hello message, with two fields that are unknown here.
_NEWER_SCHEMA = """@0xd1c3a5f0b7e246ff;
struct Hello {
  protocol @0 :UInt32;
  instance @1 :Text;
  incarnation @2 :UInt64;
  zone @3 :Text;
  token @4 :Text;
  colour @5 :Text;
  weight @6 :UInt64;
}
"""


class RawConnection:
    """A connection on which a test sends and receives single frames."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    def send(self, kind, body=b"", name="", correlation=0):
        frame = messages.Frame(kind, correlation, 1, name, body)
        data = wire.encode(frame)
        self.writer.write(struct.pack(">I", len(data)) + data)

    async def receive(self):
        """Returns the next frame, or None if the connection was closed."""
        async with asyncio.timeout(_RECEIVE_TIMEOUT_S):
            try:
                (size,) = struct.unpack(">I", await self.reader.readexactly(4))
                data = await self.reader.readexactly(size)
            except (EOFError, ConnectionResetError):
                return None
        return wire.decode(messages.Frame, data)


@pytest.fixture
def key_file(tmp_path):
    path = tmp_path / "keys.json"
    key = {"id": "k", "secret": "s" * 32, "roles": ["instance"]}
    path.write_text(json.dumps({"keys": [key]}))
    return str(path)


@pytest.fixture
def make_authenticator(key_file):
    return lambda name: auth.Authenticator(key_file, clock.SystemClock(), name)


def make_context(name, authenticator):
    system_clock = clock.SystemClock()
    return peer.PeerContext(
        peer.Identity(name, 1, "z"),
        authenticator,
        system_clock,
        events.Timeline(system_clock, name),
    )


@pytest.fixture
async def connect(make_authenticator):
    """Opens raw connections to a server."""
    handlers = peer.Handlers()

    @handlers.register(control.ZoneBeat)
    async def answer(message, hello):
        return control.ZoneBeatReply(revision=message.applied_revision + 1)

    context = make_context("server", make_authenticator("server"))
    server = peer.Server(context, handlers)
    port = await server.start("127.0.0.1", 0)
    opened = []

    async def connect():
        opened.append(
            RawConnection(*await asyncio.open_connection("127.0.0.1", port))
        )
        return opened[-1]

    yield connect
    for raw in opened:
        raw.writer.close()
    await server.stop()


@pytest.fixture
def make_hello(make_authenticator):
    def make(**changes):
        token = make_authenticator("old").sign("instance")
        hello = messages.Hello(peer.PROTOCOL_VERSION, "old", 1, "z", token)
        return hello._replace(**changes)

    return make


async def check_served(raw):
    raw.send(
        "request",
        wire.encode(control.ZoneBeat(applied_revision=4)),
        wire.get_type_name(control.ZoneBeat()),
        7,
    )
    reply = await raw.receive()
    assert (reply.kind, reply.correlation) == ("reply", 7)
    assert wire.decode(control.ZoneBeatReply, reply.body).revision == 5


@pytest.mark.parametrize(
    ("version", "accepted"), [(1, False), (2, True), (3, True), (9, True)]
)
async def test_minimum_version(
    connect, make_hello, monkeypatch, version, accepted
):
    """Guards against serving a client whose version is no longer supported."""
    monkeypatch.setattr(peer, "PROTOCOL_VERSION", 3)
    monkeypatch.setattr(peer, "MIN_PROTOCOL_VERSION", 2)
    before = metrics.peer_bad_frames._value.get()
    raw = await connect()
    raw.send("hello", wire.encode(make_hello(protocol=version)))
    hello = await raw.receive()
    assert (hello is not None) == accepted
    if accepted:
        assert wire.decode(messages.Hello, hello.body).protocol == 3
        await check_served(raw)
    bad_frame_count = metrics.peer_bad_frames._value.get() - before
    assert bad_frame_count == (0 if accepted else 1)


async def test_client_refuses_old_server(make_authenticator, make_hello):
    """Guards against requests to a server whose version is unsupported."""

    async def serve(reader, writer):
        raw = RawConnection(reader, writer)
        await raw.receive()
        raw.send("hello", wire.encode(make_hello(protocol=0)))
        assert await raw.receive() is None
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    context = make_context("new", make_authenticator("new"))
    client = peer.Client(context, f"127.0.0.1:{port}")
    reply = await client.call(control.ZoneBeat(), control.ZoneBeatReply, 30)
    assert "too old" in reply.failure().detail
    assert not reply.failure().sent
    await client.close()
    server.close()


async def test_unknown_type_is_refused_and_the_connection_goes_on(
    connect, make_hello
):
    """Guards against closing the connection of a newer process."""
    raw = await connect()
    raw.send("hello", wire.encode(make_hello()))
    await raw.receive()
    raw.send("request", b"", "control.FromALaterVersion", 3)
    reply = await raw.receive()
    assert (reply.kind, reply.correlation) == ("error", 3)
    failure = wire.decode(messages.Failure, reply.body)
    assert failure.code == "unknown_type"
    await check_served(raw)


async def test_unknown_fields_are_ignored(connect, make_hello, tmp_path):
    """Guards against rejecting a newer process because of a new field."""
    path = tmp_path / "later.capnp"
    path.write_text(_NEWER_SCHEMA)
    later = capnp.load(str(path))
    hello = make_hello()
    newer_hello = later.Hello.new_message(
        **hello._asdict(), colour="red" * 50, weight=2**40
    )
    raw = await connect()
    raw.send("hello", newer_hello.to_bytes())
    assert (await raw.receive()).kind == "hello"
    await check_served(raw)


@pytest.mark.parametrize("token", ["", "x.y.z"])
async def test_server_sends_no_token_to_unauthenticated_client(
    connect, make_hello, token
):
    """Guards against giving a token to clients that are not authenticated."""
    raw = await connect()
    raw.send("hello", wire.encode(make_hello(token=token)))
    assert await raw.receive() is None
