"""Opens connections to upstreams and other instances.

All request paths use it, so that whatever prevents a connection fails one
attempt only.
"""

import asyncio
from collections.abc import Callable
import ssl
from typing import TypeVar

from bamboosill_common import logs

_log = logs.get_logger("connect")

Protocol = TypeVar("Protocol", bound=asyncio.BaseProtocol)


class ConnectError(Exception):
    """No connection could be opened.

    Attributes:
        code: `refused` if nothing listens at the address, otherwise `connect`.
    """

    def __init__(self, code: str, detail: str) -> None:
        super().__init__(detail)
        self.code = code


async def connect(
    make_protocol: Callable[[], Protocol],
    host: str,
    port: int,
    timeout_s: float,
    *,
    tls: ssl.SSLContext | None = None,
    local_address: tuple[str, int] | None = None,
) -> Protocol:
    """Returns the protocol of a new connection.

    Raises:
        ConnectError: It could not be opened, whatever the reason.
    """
    try:
        async with asyncio.timeout(timeout_s):
            _, protocol = await asyncio.get_running_loop().create_connection(
                make_protocol, host, port, ssl=tls, local_addr=local_address
            )
    except TimeoutError as error:
        raise ConnectError("connect", "connect timed out") from error
    except ConnectionRefusedError as error:
        raise ConnectError("refused", str(error)) from error
    except OSError as error:
        raise ConnectError("connect", str(error)) from error
    except Exception as error:
        # An address that cannot be encoded or converted raises other errors
        # (UnicodeError, OverflowError, ValueError).
        _log.warning(
            "Connection could not be opened. Address: %s:%s. Reason: %r.",
            host,
            port,
            error,
        )
        raise ConnectError("connect", repr(error)) from error
    return protocol
