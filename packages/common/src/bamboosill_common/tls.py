"""TLS contexts, reloaded when their files change."""

from collections.abc import Callable
import os
import pathlib
import ssl
from typing import Any
from typing import NamedTuple

from bamboosill_common import logs
from bamboosill_common import metrics
from bamboosill_common.generated import settings as settings_lib

RELOAD_INTERVAL_S = 1.0

_log = logs.get_logger("tls")


class CountedContext(ssl.SSLContext):
    """A context that counts failed handshakes.

    Attributes:
        port: Which port or direction the context is for.
    """

    port = ""


class _CountedObject(ssl.SSLObject):
    # The event loop drops connections whose handshake fails without telling
    # anyone, so they are counted here.
    def do_handshake(self) -> None:
        try:
            super().do_handshake()
        except (ssl.SSLWantReadError, ssl.SSLWantWriteError):
            raise
        except ssl.SSLError as error:
            port = getattr(self.context, "port", "")
            metrics.tls_failures.labels(port).inc()
            reason = error.reason or type(error).__name__
            _log.warning("Handshake failed. Port: %s. Reason: %s", port, reason)
            raise


class Files(NamedTuple):
    """PEM files of an instance."""

    cert: str
    key: str
    ca: str


class Contexts:
    """The contexts of one instance; all of them None without TLS.

    Attributes:
        peer_server: For other instances, which show a certificate, too.
        server: For operators, callers and upstreams, which show a token.
        client: For connections to other instances.
    """

    def __init__(self, files: Files | None) -> None:
        self._files = files
        self._stamp: tuple[Any, ...] = ()
        self.peer_server: ssl.SSLContext | None = None
        self.server: ssl.SSLContext | None = None
        self.client: ssl.SSLContext | None = None
        if files is None:
            return
        self._stamp = _read_stamp(files)
        self.peer_server = _make_context(files, "peer", True)
        self.peer_server.verify_mode = ssl.CERT_REQUIRED
        self.server = _make_context(files, "server", True)
        self.client = _make_context(files, "client", False)

    def reload(self) -> bool:
        """Loads files that have changed, for connections made from now on.

        Returns:
            Whether anything was loaded.
        """
        if self._files is None:
            return False
        try:
            stamp = _read_stamp(self._files)
        except OSError as error:
            _log.error("Certificate not loaded. Reason: %s.", error.strerror)
            return False
        if stamp == self._stamp:
            return False
        self._stamp = stamp
        # A failed load leaves a context without a usable key, so the files
        # are tried on another context first.
        problem = check_files(*self._files)
        if problem:
            _log.error("Certificate not loaded. Reason: %s.", problem)
            return False
        try:
            for context in (self.peer_server, self.server, self.client):
                if context is not None:
                    _load(context, self._files)
        except OSError as error:
            # The files changed again just now; the next call tries again.
            self._stamp = ()
            _log.error("Certificate not loaded. Reason: %s.", error)
            return False
        _log.info("Certificate loaded.")
        return True


def make_contexts(settings: settings_lib.DaemonSettings) -> Contexts:
    """Returns the contexts that the settings ask for."""
    if not settings.tls_cert:
        return Contexts(None)
    return Contexts(Files(settings.tls_cert, settings.tls_key, settings.tls_ca))


def check_files(cert: str, key: str, ca: str) -> str:
    """Returns what is wrong with PEM files, or an empty text."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    steps: tuple[tuple[str, Callable[[], None]], ...] = (
        (f"{cert}, {key}", lambda: context.load_cert_chain(cert, key)),
        (ca, lambda: context.load_verify_locations(ca)),
    )
    for name, step in steps:
        try:
            step()
        except ssl.SSLError as error:
            reason = error.reason or "no PEM file of this kind"
            return f"{name}: cannot be loaded: {reason}"
        except OSError as error:
            return f"{name}: cannot be read: {error.strerror}"
    return ""


def find_world_readable(paths: tuple[str, ...]) -> list[str]:
    """Returns the files that users other than owner and group can read."""
    return [
        path
        for path in paths
        if path and pathlib.Path(path).stat().st_mode & 0o007
    ]


def _make_context(files: Files, port: str, is_server: bool) -> CountedContext:
    context = CountedContext(
        ssl.PROTOCOL_TLS_SERVER if is_server else ssl.PROTOCOL_TLS_CLIENT
    )
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.port = port
    context.sslobject_class = _CountedObject
    _load(context, files)
    return context


def _load(context: ssl.SSLContext, files: Files) -> None:
    context.load_cert_chain(files.cert, files.key)
    context.load_verify_locations(files.ca)


def _read_stamp(files: Files) -> tuple[Any, ...]:
    states = [os.stat(path) for path in files]
    return tuple((s.st_mtime_ns, s.st_size, s.st_ino) for s in states)
