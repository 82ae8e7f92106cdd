"""Checks addresses that are received from other processes."""

import ipaddress

_MAX_PORT = 65535
_MAX_PORT_DIGITS = 5
_BROADCAST = ipaddress.IPv4Address("255.255.255.255")


def split_connectable(text: str) -> tuple[str, int]:
    """Splits `IP:port` of an endpoint that connections can be opened to.

    Host names are not accepted: to resolve one, a process would depend on a
    name server, and some are no names that can be looked up at all.

    Raises:
        ValueError: The text is no such address.
    """
    host, _, port = text.rpartition(":")
    ip = ipaddress.ip_address(host)
    if "%" in host:
        raise ValueError(f"{host!r} has a scope, which other hosts lack")
    if ip.is_unspecified or ip.is_multicast or ip == _BROADCAST:
        raise ValueError(f"{host} is not the address of one host")
    if not (
        port.isascii() and port.isdigit() and len(port) <= _MAX_PORT_DIGITS
    ):
        raise ValueError("the port is not a number")
    if not 0 < int(port) <= _MAX_PORT:
        raise ValueError(f"port {port} is out of range")
    return host, int(port)
