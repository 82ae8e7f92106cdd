"""Connections between instances: framed messages, requests and heartbeats.

A frame is a length of 4 bytes, big-endian, and that many bytes of a Cap'n
Proto `Frame`. The side that opened the connection sends requests; the other
answers, in any order. Both sides begin with `Hello`. The opener sends `ping`
frames and drops a connection that stays silent, because something between
the two ends can lose track of it without closing it.
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
_HEADER = struct.Struct(">I")
_MAX_FRAME_BYTES = wire.MAX_MESSAGE_BYTES + 4096
_PING_INTERVAL_S = 0.5
_SILENCE_LIMIT_S = 1.5
# A machine without power does not answer; an attempt begun before its start
# would wait for a lost packet. Ten times the round trip between zones.
_CONNECT_TIMEOUT_S = 0.25
_HELLO_TIMEOUT_S = 2.0
_RECONNECT_DELAY_S = 0.1
_MAX_REQUESTS_PER_CONNECTION = 4096

_log = logs.get_logger("peer")

Reply = TypeVar("Reply", bound=NamedTuple)
Handler = Callable[[Any, messages.Hello], Awaitable[Any]]


class Identity(NamedTuple):
    """What this process says of itself in its hello."""

    instance: str
    incarnation: int
    zone: str


class Handlers:
    """Registry of handlers by message class."""

    def __init__(self) -> None:
        self._by_class: dict[type[Any], Handler] = {}

    def register(self, message_type: type[Any]) -> Callable[[Handler], Handler]:
        """Returns a decorator that registers the handler of a message."""

        def add(handler: Handler) -> Handler:
            self._by_class[message_type] = handler
            return handler

        return add

    async def dispatch(self, message: Any, hello: messages.Hello) -> Any:
        """Returns the handler's reply.

        Raises:
            errors.HandlerError: No handler, or the handler refused.
        """
        handler = self._by_class.get(type(message))
        if handler is None:
            raise errors.HandlerError(
                "unhandled", f"no handler for {type(message).__name__}"
            )
        return await handler(message, hello)


class PeerContext(NamedTuple):
    """What every peer connection of a process shares."""

    identity: Identity
    authenticator: identities.Authenticator
    clock: clock_lib.Clock
    timeline: events_lib.Timeline
    client_tls: ssl.SSLContext | None = None
    server_tls: ssl.SSLContext | None = None
    # IP number that outgoing connections come from; empty lets the system
    # choose.
    local_host: str = ""


class _ProtocolError(Exception):
    """The other side sent bytes that cannot be accepted."""


async def _read_frame(reader: asyncio.StreamReader) -> messages.Frame:
    header = await reader.readexactly(_HEADER.size)
    (length,) = _HEADER.unpack(header)
    if length > _MAX_FRAME_BYTES:
        raise _ProtocolError(f"frame of {length} bytes is too large")
    try:
        return wire.decode(messages.Frame, await reader.readexactly(length))
    except wire.DecodeError as error:
        raise _ProtocolError(str(error)) from error


class _Connection:
    """Reading and writing of frames, shared by both sides."""

    def __init__(
        self,
        context: PeerContext,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.context = context
        self.reader = reader
        self.writer = writer

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
        self.writer.write(_HEADER.pack(len(data)) + data)

    async def receive(self) -> messages.Frame:
        frame = await _read_frame(self.reader)
        self.context.timeline.observe(frame.clock)
        return frame

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
        # `asyncio.wait_for` can lose a cancellation that comes together with
        # the frame (fixed in Python 3.12), and a stop then never ends.
        async with asyncio.timeout(_HELLO_TIMEOUT_S):
            frame = await self.receive()
        if frame.kind != "hello":
            raise _ProtocolError("first frame is no hello")
        try:
            other = wire.decode(messages.Hello, frame.body)
        except wire.DecodeError as error:
            raise _ProtocolError(str(error)) from error
        if other.protocol < MIN_PROTOCOL_VERSION:
            raise _ProtocolError(f"protocol {other.protocol} is too old")
        match self.context.authenticator.verify(other.token, "instance"):
            case Failure(detail):
                raise _ProtocolError(f"hello refused: {detail}")
            case Success(identity) if (
                identity.subject and identity.subject != other.instance
            ):
                raise _ProtocolError("hello refused: token of another instance")
        return other


class Server:
    """Accepts connections of other instances; one task for each."""

    def __init__(self, context: PeerContext, handlers: Handlers) -> None:
        self._context = context
        self._handlers = handlers
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, host: str, port: int) -> int:
        """Listens and returns the port."""
        self._server = await asyncio.start_server(
            self._accept, host, port, ssl=self._context.server_tls
        )
        port_bound: int = self._server.sockets[0].getsockname()[1]
        return port_bound

    async def stop(self) -> None:
        """Stops listening and closes all connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = _Connection(self._context, reader, writer)
        task = asyncio.create_task(self._serve(connection))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, connection: _Connection) -> None:
        requests: set[asyncio.Task[None]] = set()
        try:
            # The own token is shown only to those who have shown theirs.
            hello = await connection.receive_hello()
            connection.send_hello()
            while True:
                frame = await connection.receive()
                if frame.kind == "ping":
                    connection.send("pong", frame.correlation, "", b"")
                elif frame.kind == "request":
                    if len(requests) >= _MAX_REQUESTS_PER_CONNECTION:
                        raise _ProtocolError("too many requests at once")
                    task = asyncio.create_task(
                        self._answer(connection, frame, hello)
                    )
                    requests.add(task)
                    task.add_done_callback(requests.discard)
                else:
                    raise _ProtocolError(f"unexpected frame {frame.kind}")
        except _ProtocolError as fault:
            metrics.peer_bad_frames.inc()
            _log.warning("Connection closed. Reason: %s.", fault)
        except (OSError, EOFError, TimeoutError):
            pass
        finally:
            for task in requests:
                task.cancel()
            connection.writer.close()

    async def _answer(
        self,
        connection: _Connection,
        frame: messages.Frame,
        hello: messages.Hello,
    ) -> None:
        try:
            found = codec.CODECS_BY_NAME.get(frame.type)
            if found is None:
                raise errors.HandlerError("unknown_type", frame.type[:80])
            message = wire.decode(found.message, frame.body)
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


class Client:
    """One outgoing connection to an address, opened again when it breaks."""

    def __init__(self, context: PeerContext, address: str) -> None:
        self._context = context
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self.address = address
        self._connection: _Connection | None = None
        self._waiting: dict[int, asyncio.Future[messages.Frame]] = {}
        self._next = 0
        self._opening = asyncio.Lock()
        self._task: asyncio.Task[None] | None = None
        self._failed_s = float("-inf")

    async def call(
        self, message: Any, reply_type: type[Reply], deadline_s: float
    ) -> Result[Reply, errors.PeerError]:
        """Sends a request and returns its reply.

        Args:
            message: The request.
            reply_type: Class of the reply.
            deadline_s: Longest time in seconds for the whole call.
        """
        sent = False
        try:
            async with asyncio.timeout(deadline_s):
                connection = await self._ensure_connection()
                self._next += 1
                correlation = self._next
                future: asyncio.Future[messages.Frame] = (
                    asyncio.get_running_loop().create_future()
                )
                self._waiting[correlation] = future
                try:
                    sent = True
                    connection.send(
                        "request",
                        correlation,
                        wire.get_type_name(message),
                        wire.encode(message),
                    )
                    await connection.writer.drain()
                    frame = await future
                finally:
                    self._waiting.pop(correlation, None)
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
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _ensure_connection(self) -> _Connection:
        async with self._opening:
            if self._connection is not None:
                return self._connection
            now_s = self._context.clock.monotonic()
            wait_s = self._failed_s + _RECONNECT_DELAY_S - now_s
            if wait_s > 0:
                # Callers that try again at once must not try all the time.
                await self._context.clock.sleep(wait_s)
            # Marks the attempt as failed until the hello has succeeded.
            self._failed_s = self._context.clock.monotonic()
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
            self._failed_s = float("-inf")
            self._connection = connection
            self._task = asyncio.create_task(self._run(connection))
            return connection

    async def _run(self, connection: _Connection) -> None:
        pings = asyncio.create_task(self._send_pings(connection))
        error: Exception = ConnectionResetError("connection closed")
        try:
            while True:
                async with asyncio.timeout(_SILENCE_LIMIT_S):
                    frame = await connection.receive()
                future = self._waiting.get(frame.correlation)
                if frame.kind != "pong" and future and not future.done():
                    future.set_result(frame)
        except TimeoutError:
            metrics.peer_silent_connections.inc()
            _log.info("Connection to %s went silent.", self.address)
        except _ProtocolError as fault:
            metrics.peer_bad_frames.inc()
            _log.warning("Connection closed. Reason: %s.", fault)
        except (OSError, EOFError) as caught:
            error = caught
        finally:
            pings.cancel()
            connection.writer.close()
            self._connection = None
            for future in self._waiting.values():
                if not future.done():
                    future.set_exception(error)

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
        found = codec.CODECS_BY_CLASS[reply_type]
        if frame.type != found.name:
            return Failure(
                errors.PeerError("protocol", f"reply is {frame.type}", True)
            )
        return Success(wire.decode(reply_type, frame.body))
    except wire.DecodeError as error:
        return Failure(errors.PeerError("protocol", str(error), True))


class Directory:
    """Clients by address, opened on first use."""

    def __init__(self, context: PeerContext) -> None:
        self._context = context
        self._clients: dict[str, Client] = {}

    async def call(
        self,
        address: str,
        message: Any,
        reply_type: type[Reply],
        deadline_s: float,
    ) -> Result[Reply, errors.PeerError]:
        """Sends a request to the instance at `address`."""
        client = self._clients.get(address)
        if client is None:
            client = self._clients[address] = Client(self._context, address)
        return await client.call(message, reply_type, deadline_s)

    async def close(self) -> None:
        """Closes all connections."""
        await asyncio.gather(
            *(client.close() for client in self._clients.values())
        )
