"""Request-reply protocol between instances over TCP or TLS connections.

Each frame is a 4-byte big-endian length followed by a Cap'n Proto `Frame` of
that many bytes. The first frame in each direction is a `Hello`, which
authenticates the sender. The client then sends requests; the server replies
in any order and repeats the request's correlation number in its reply.

The client also sends `ping` frames and closes a connection on which it
receives nothing: a device on the network path can drop the connection's state
without closing it at either end.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import ssl
import struct
from typing import Any
from typing import NamedTuple
from typing import TypeVar

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from bamboosill_common import clock as clock_lib
from bamboosill_common import codec
from bamboosill_common import errors
from bamboosill_common import events as events_lib
from bamboosill_common import identities
from bamboosill_common import logs
from bamboosill_common import metrics
from bamboosill_common import wire
from bamboosill_common.generated import peer as messages

PROTOCOL_VERSION = 1
MIN_PROTOCOL_VERSION = 1
_LENGTH_PREFIX = struct.Struct(">I")
_MAX_FRAME_BYTES = wire.MAX_MESSAGE_BYTES + 4096
# Nothing larger is read from a peer before it has proved its identity.
_MAX_HELLO_BYTES = 64 * 1024
_PING_INTERVAL_S = 0.5
_RECEIVE_TIMEOUT_S = 1.5
# Short, so that a connection is made soon after a host boots: a host that is
# down does not reject connections, and an attempt made before it boots waits
# for a retransmission. The value is ten times the round trip between zones.
_CONNECT_TIMEOUT_S = 0.25
_HELLO_TIMEOUT_S = 2.0
_RECONNECT_DELAY_S = 0.1
_MAX_REQUESTS_PER_CONNECTION = 4096

_log = logs.get_logger("peer")

Reply = TypeVar("Reply", bound=NamedTuple)
Handler = Callable[[Any, messages.Hello], Awaitable[Any]]


class Identity(NamedTuple):
    """Identity that this process announces in its `Hello`."""

    instance: str
    incarnation: int
    zone: str


class Handlers:
    """Request handlers, registered by message class."""

    def __init__(self) -> None:
        self._by_message_type: dict[type[Any], Handler] = {}

    def register(self, message_type: type[Any]) -> Callable[[Handler], Handler]:
        """Returns a decorator that registers a handler for a message type."""

        def decorator(handler: Handler) -> Handler:
            self._by_message_type[message_type] = handler
            return handler

        return decorator

    async def dispatch(self, message: Any, hello: messages.Hello) -> Any:
        """Calls the handler of a request and returns its reply.

        Args:
            message: The request.
            hello: The `Hello` that opened the connection.

        Raises:
            errors.HandlerError: The message type has no handler, or the
                handler rejected the request.
        """
        handler = self._by_message_type.get(type(message))
        if handler is None:
            raise errors.HandlerError(
                "unhandled", f"no handler for {type(message).__name__}"
            )
        return await handler(message, hello)


class PeerContext(NamedTuple):
    """Dependencies shared by all peer connections of a process."""

    identity: Identity
    authenticator: identities.Authenticator
    clock: clock_lib.Clock
    timeline: events_lib.Timeline
    client_tls: ssl.SSLContext | None = None
    server_tls: ssl.SSLContext | None = None
    # Source IP address of outgoing connections; if empty, the operating system
    # selects it.
    local_host: str = ""


class _ProtocolError(Exception):
    """The peer violated the protocol or failed authentication."""


def _do_nothing() -> None:
    pass


class _Connection:
    """Frame reader and writer used by both the client and the server."""

    def __init__(
        self,
        context: PeerContext,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.context = context
        self.reader = reader
        self.writer = writer
        # Called when a part of a frame has arrived.
        self.on_part: Callable[[], None] = _do_nothing

    def send(
        self, kind: str, correlation: int, type_name: str, body: bytes
    ) -> None:
        frame = messages.Frame(
            kind=kind,
            correlation=correlation,
            clock=self.context.timeline.tick(),
            type=type_name,
            body=body,
        )
        data = wire.encode(frame)
        self.writer.write(_LENGTH_PREFIX.pack(len(data)) + data)

    async def receive(self, silence_s: float | None = None) -> messages.Frame:
        """Returns the next frame of an authenticated peer.

        Args:
            silence_s: Timeout in seconds from the last byte that arrived.
        """
        frame = await self._receive(silence_s, _MAX_FRAME_BYTES)
        self.context.timeline.observe(frame.clock)
        return frame

    async def _receive(
        self, silence_s: float | None, max_bytes: int
    ) -> messages.Frame:
        prefix = await self._read(_LENGTH_PREFIX.size, silence_s)
        (length,) = _LENGTH_PREFIX.unpack(prefix)
        if length > max_bytes:
            raise _ProtocolError(f"frame of {length} bytes is too large")
        data = await self._read(length, silence_s)
        try:
            return wire.decode(messages.Frame, data)
        except wire.DecodeError as error:
            raise _ProtocolError(str(error)) from error

    async def _read(self, count: int, silence_s: float | None) -> bytes:
        if silence_s is None:
            return await self.reader.readexactly(count)
        data = bytearray()
        while True:
            async with asyncio.timeout(silence_s):
                part = await self.reader.read(count - len(data))
            if not part:
                raise asyncio.IncompleteReadError(bytes(data), count)
            data += part
            if len(data) == count:
                return bytes(data)
            self.on_part()

    def send_hello(self) -> None:
        identity = self.context.identity
        hello = messages.Hello(
            protocol=PROTOCOL_VERSION,
            instance=identity.instance,
            incarnation=identity.incarnation,
            zone=identity.zone,
            token=self.context.authenticator.sign("instance"),
        )
        self.send("hello", 0, "", wire.encode(hello))

    async def receive_hello(self) -> messages.Hello:
        # `asyncio.wait_for` can swallow a cancellation that arrives together
        # with the frame (fixed in Python 3.12), and `stop` would then hang.
        async with asyncio.timeout(_HELLO_TIMEOUT_S):
            frame = await self._receive(None, _MAX_HELLO_BYTES)
        if frame.kind != "hello":
            raise _ProtocolError("the first frame is not a hello")
        try:
            peer_hello = wire.decode(messages.Hello, frame.body)
        except wire.DecodeError as error:
            raise _ProtocolError(str(error)) from error
        if peer_hello.protocol < MIN_PROTOCOL_VERSION:
            raise _ProtocolError(f"protocol {peer_hello.protocol} is too old")
        match self.context.authenticator.verify(peer_hello.token, "instance"):
            case Failure(detail):
                raise _ProtocolError(f"hello refused: {detail}")
            case Success(identity) if (
                identity.subject and identity.subject != peer_hello.instance
            ):
                raise _ProtocolError(
                    "hello refused: token was issued to another instance"
                )
        self.context.timeline.observe(frame.clock)
        return peer_hello


class Server:
    """Accepts peer connections and serves each one in its own task."""

    def __init__(self, context: PeerContext, handlers: Handlers) -> None:
        self._context = context
        self._handlers = handlers
        self._server: asyncio.Server | None = None
        self._connection_tasks: set[asyncio.Task[None]] = set()

    async def start(self, host: str, port: int) -> int:
        """Starts listening and returns the bound port."""
        self._server = await asyncio.start_server(
            self._accept, host, port, ssl=self._context.server_tls
        )
        bound_port: int = self._server.sockets[0].getsockname()[1]
        return bound_port

    async def stop(self) -> None:
        """Stops listening and closes all connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._connection_tasks):
            task.cancel()
        await asyncio.gather(*self._connection_tasks, return_exceptions=True)

    def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = _Connection(self._context, reader, writer)
        task = asyncio.create_task(self._serve_connection(connection))
        self._connection_tasks.add(task)
        task.add_done_callback(self._connection_tasks.discard)

    async def _serve_connection(self, connection: _Connection) -> None:
        request_tasks: set[asyncio.Task[None]] = set()
        try:
            # The server sends its token only to an authenticated client.
            hello = await connection.receive_hello()
            connection.send_hello()
            while True:
                frame = await connection.receive()
                if frame.kind == "ping":
                    connection.send("pong", frame.correlation, "", b"")
                elif frame.kind == "request":
                    if len(request_tasks) >= _MAX_REQUESTS_PER_CONNECTION:
                        raise _ProtocolError("too many concurrent requests")
                    task = asyncio.create_task(
                        self._handle_request(connection, frame, hello)
                    )
                    request_tasks.add(task)
                    task.add_done_callback(request_tasks.discard)
                else:
                    raise _ProtocolError(
                        f"unexpected frame of kind {frame.kind}"
                    )
        except _ProtocolError as protocol_error:
            metrics.peer_bad_frames.inc()
            _log.warning("Connection closed. Reason: %s.", protocol_error)
        except (OSError, EOFError, TimeoutError):
            pass
        finally:
            for task in request_tasks:
                task.cancel()
            connection.writer.close()

    async def _handle_request(
        self,
        connection: _Connection,
        frame: messages.Frame,
        hello: messages.Hello,
    ) -> None:
        try:
            message_codec = codec.CODECS_BY_NAME.get(frame.type)
            if message_codec is None:
                raise errors.HandlerError("unknown_type", frame.type[:80])
            message = wire.decode(message_codec.message, frame.body)
            reply = await self._handlers.dispatch(message, hello)
        except (errors.HandlerError, wire.DecodeError) as error:
            code = getattr(error, "code", "bad_message")
            failure = messages.Failure(code=code, detail=str(error)[:500])
            connection.send(
                "error", frame.correlation, "", wire.encode(failure)
            )
            return
        except Exception:
            _log.exception("Handler of %s failed.", frame.type)
            failure = messages.Failure(code="internal", detail="handler failed")
            connection.send(
                "error", frame.correlation, "", wire.encode(failure)
            )
            return
        connection.send(
            "reply",
            frame.correlation,
            wire.get_type_name(reply),
            wire.encode(reply),
        )


class _PendingCall(NamedTuple):
    """A call that waits for its reply.

    Attributes:
        reply: Result of the call.
        timeout: Ends the call.
        timeout_s: Its length in seconds.
        latest_s: Time of the event loop until which it may be extended.
    """

    reply: asyncio.Future[messages.Frame]
    timeout: asyncio.Timeout
    timeout_s: float
    latest_s: float


class Client:
    """Client of one address; reconnects on the next call after a failure."""

    def __init__(self, context: PeerContext, address: str) -> None:
        self._context = context
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self.address = address
        self._connection: _Connection | None = None
        self._pending_calls: dict[int, _PendingCall] = {}
        self._last_correlation = 0
        self._connect_lock = asyncio.Lock()
        self._receive_task: asyncio.Task[None] | None = None
        self._last_failure_s = float("-inf")

    async def call(
        self,
        message: Any,
        reply_type: type[Reply],
        deadline_s: float,
        transfer_s: float = 0.0,
    ) -> Result[Reply, errors.PeerError]:
        """Sends a request and returns its reply, connecting first if needed.

        Args:
            message: The request.
            reply_type: Expected class of the reply.
            deadline_s: Timeout in seconds for the whole call, including the
                connection attempt.
            transfer_s: Longest time in seconds by which the timeout is
                extended while a large frame arrives.
        """
        sent = False
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(deadline_s) as timeout:
                connection = await self._ensure_connection()
                self._last_correlation += 1
                correlation = self._last_correlation
                reply: asyncio.Future[messages.Frame] = loop.create_future()
                latest_s = loop.time() + transfer_s
                self._pending_calls[correlation] = _PendingCall(
                    reply, timeout, deadline_s, latest_s
                )
                try:
                    sent = True
                    connection.send(
                        "request",
                        correlation,
                        wire.get_type_name(message),
                        wire.encode(message),
                    )
                    await connection.writer.drain()
                    frame = await reply
                finally:
                    self._pending_calls.pop(correlation, None)
        except TimeoutError:
            return Failure(errors.PeerError("timeout", self.address, sent))
        except (OSError, EOFError, _ProtocolError) as error:
            return Failure(
                errors.PeerError(
                    "unreachable", f"{self.address}: {error}", sent
                )
            )
        return _read_reply(frame, reply_type)

    async def close(self) -> None:
        """Closes the connection."""
        if self._receive_task is not None:
            self._receive_task.cancel()
            await asyncio.gather(self._receive_task, return_exceptions=True)

    async def _ensure_connection(self) -> _Connection:
        async with self._connect_lock:
            if self._connection is not None:
                return self._connection
            now_s = self._context.clock.monotonic()
            wait_s = self._last_failure_s + _RECONNECT_DELAY_S - now_s
            if wait_s > 0:
                # Limits the rate of connection attempts when callers retry
                # immediately.
                await self._context.clock.sleep(wait_s)
            # Counts the attempt as failed until the handshake has succeeded.
            self._last_failure_s = self._context.clock.monotonic()
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                local_host = self._context.local_host
                reader, writer = await asyncio.open_connection(
                    self._host,
                    self._port,
                    ssl=self._context.client_tls,
                    local_addr=(local_host, 0) if local_host else None,
                )
            connection = _Connection(self._context, reader, writer)
            try:
                connection.send_hello()
                await connection.receive_hello()
            except BaseException as error:
                if isinstance(error, _ProtocolError):
                    metrics.peer_bad_frames.inc()
                writer.close()
                raise
            metrics.peer_connections_opened.inc()
            self._last_failure_s = float("-inf")
            self._connection = connection
            self._receive_task = asyncio.create_task(
                self._receive_replies(connection)
            )
            return connection

    async def _receive_replies(self, connection: _Connection) -> None:
        ping_task = asyncio.create_task(self._send_pings(connection))
        error: Exception = ConnectionResetError("connection closed")
        connection.on_part = self._extend_timeouts
        try:
            while True:
                frame = await connection.receive(_RECEIVE_TIMEOUT_S)
                call = self._pending_calls.get(frame.correlation)
                if frame.kind != "pong" and call and not call.reply.done():
                    call.reply.set_result(frame)
        except TimeoutError:
            metrics.peer_silent_connections.inc()
            _log.info("Connection to %s went silent.", self.address)
        except _ProtocolError as protocol_error:
            metrics.peer_bad_frames.inc()
            _log.warning("Connection closed. Reason: %s.", protocol_error)
        except (OSError, EOFError) as connection_error:
            error = connection_error
        finally:
            ping_task.cancel()
            connection.writer.close()
            self._connection = None
            for call in self._pending_calls.values():
                if not call.reply.done():
                    call.reply.set_exception(error)

    def _extend_timeouts(self) -> None:
        """Extends calls whose reply may be behind the frame that arrives."""
        now_s = asyncio.get_running_loop().time()
        for call in self._pending_calls.values():
            ends_s = min(now_s + call.timeout_s, call.latest_s)
            current_s = call.timeout.when()
            if current_s is not None and ends_s > current_s > now_s:
                call.timeout.reschedule(ends_s)

    async def _send_pings(self, connection: _Connection) -> None:
        while True:
            connection.send("ping", 0, "", b"")
            await asyncio.sleep(_PING_INTERVAL_S)


def _read_reply(
    frame: messages.Frame, reply_type: type[Reply]
) -> Result[Reply, errors.PeerError]:
    try:
        if frame.kind == "error":
            failure = wire.decode(messages.Failure, frame.body)
            return Failure(errors.PeerError(failure.code, failure.detail, True))
        message_codec = codec.CODECS_BY_CLASS[reply_type]
        if frame.type != message_codec.name:
            return Failure(
                errors.PeerError("protocol", f"reply is {frame.type}", True)
            )
        return Success(wire.decode(reply_type, frame.body))
    except wire.DecodeError as error:
        return Failure(errors.PeerError("protocol", str(error), True))


class Directory:
    """Pool of clients, one per address, each created on first use."""

    def __init__(self, context: PeerContext) -> None:
        self._context = context
        self._clients: dict[str, Client] = {}

    async def call(
        self,
        address: str,
        message: Any,
        reply_type: type[Reply],
        deadline_s: float,
        transfer_s: float = 0.0,
    ) -> Result[Reply, errors.PeerError]:
        """Sends a request to the instance at `address`, see `Client.call`."""
        client = self._clients.get(address)
        if client is None:
            client = self._clients[address] = Client(self._context, address)
        return await client.call(message, reply_type, deadline_s, transfer_s)

    async def close(self) -> None:
        """Closes all connections."""
        await asyncio.gather(
            *(client.close() for client in self._clients.values())
        )
