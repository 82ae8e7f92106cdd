"""TLS contexts of an instance, with reload of changed certificate files."""

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


class CountingContext(ssl.SSLContext):
    """An SSL context that counts and logs failed handshakes.

    Attributes:
        port: Value of the metric label `port`: `peer`, `server` or `client`.
    """

    port = ""


class _CountingSSLObject(ssl.SSLObject):
    # asyncio closes a connection whose handshake fails without reporting it to
    # the application, so failures are counted and logged here.
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
    """Paths of the PEM files of an instance."""

    cert: str
    key: str
    ca: str


class Contexts:
    """The SSL contexts of one instance; all are None if TLS is off.

    Attributes:
        peer_server: Server side of peer connections; requires a client
            certificate.
        server: Server side for operators, callers and upstreams, which
            authenticate with tokens instead of certificates.
        client: Client side of connections to other instances.
    """

    def __init__(self, files: Files | None) -> None:
        self._files = files
        self._file_versions: tuple[Any, ...] = ()
        self.peer_server: ssl.SSLContext | None = None
        self.server: ssl.SSLContext | None = None
        self.client: ssl.SSLContext | None = None
        if files is None:
            return
        self._file_versions = _read_file_versions(files)
        self.peer_server = _make_context(files, "peer", True)
        self.peer_server.verify_mode = ssl.CERT_REQUIRED
        self.server = _make_context(files, "server", True)
        self.client = _make_context(files, "client", False)

    def reload(self) -> bool:
        """Reloads changed files; existing connections are not affected.

        Returns:
            Whether the files were reloaded.
        """
        if self._files is None:
            return False
        try:
            file_versions = _read_file_versions(self._files)
        except OSError as error:
            _log.error("Certificate not loaded. Reason: %s.", error.strerror)
            return False
        if file_versions == self._file_versions:
            return False
        self._file_versions = file_versions
        # A failed load would leave a context in use without a valid key, so the
        # files are first loaded into a temporary context.
        problem = check_files(*self._files)
        if problem:
            _log.error("Certificate not loaded. Reason: %s.", problem)
            return False
        try:
            for context in (self.peer_server, self.server, self.client):
                if context is not None:
                    _load_files(context, self._files)
        except OSError as error:
            # The files changed after the check; the next call retries.
            self._file_versions = ()
            _log.error("Certificate not loaded. Reason: %s.", error)
            return False
        _log.info("Certificate loaded.")
        return True


def make_contexts(settings: settings_lib.DaemonSettings) -> Contexts:
    """Returns the contexts for the given settings."""
    if not settings.tls_cert:
        return Contexts(None)
    return Contexts(Files(settings.tls_cert, settings.tls_key, settings.tls_ca))


def check_files(cert: str, key: str, ca: str) -> str:
    """Returns why PEM files cannot be loaded, or an empty string."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    load_steps: tuple[tuple[str, Callable[[], None]], ...] = (
        (f"{cert}, {key}", lambda: context.load_cert_chain(cert, key)),
        (ca, lambda: context.load_verify_locations(ca)),
    )
    for name, load in load_steps:
        try:
            load()
        except ssl.SSLError as error:
            reason = error.reason or "no PEM file of this kind"
            return f"{name}: cannot be loaded: {reason}"
        except OSError as error:
            return f"{name}: cannot be read: {error.strerror}"
    return ""


def find_world_readable(paths: tuple[str, ...]) -> list[str]:
    """Returns the files that users other than owner and group can access."""
    return [
        path
        for path in paths
        if path and pathlib.Path(path).stat().st_mode & 0o007
    ]


def _make_context(files: Files, port: str, is_server: bool) -> CountingContext:
    context = CountingContext(
        ssl.PROTOCOL_TLS_SERVER if is_server else ssl.PROTOCOL_TLS_CLIENT
    )
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.port = port
    context.sslobject_class = _CountingSSLObject
    _load_files(context, files)
    return context


def _load_files(context: ssl.SSLContext, files: Files) -> None:
    context.load_cert_chain(files.cert, files.key)
    context.load_verify_locations(files.ca)


def _read_file_versions(files: Files) -> tuple[Any, ...]:
    statuses = [os.stat(path) for path in files]
    return tuple((s.st_mtime_ns, s.st_size, s.st_ino) for s in statuses)
