"""TLS contexts for connections between instances."""

import ssl

from bamboosill_common.generated import settings as settings_lib


def make_server_context(
    settings: settings_lib.DaemonSettings,
) -> ssl.SSLContext | None:
    """Returns the context for accepted connections, or None without TLS."""
    if not settings.tls_cert:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.load_cert_chain(settings.tls_cert, settings.tls_key)
    if settings.tls_ca:
        context.load_verify_locations(settings.tls_ca)
        context.verify_mode = ssl.CERT_REQUIRED
    return context


def make_client_context(
    settings: settings_lib.DaemonSettings,
) -> ssl.SSLContext | None:
    """Returns the context for opened connections, or None without TLS."""
    if not settings.tls_cert:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.load_cert_chain(settings.tls_cert, settings.tls_key)
    if settings.tls_ca:
        context.load_verify_locations(settings.tls_ca)
    return context
