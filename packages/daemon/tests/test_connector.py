"""Tests of what prevents a connection, in both request paths."""

import asyncio
import errno
import socket

import pytest
from returns.result import Failure

from bamboosilld import connector
from bamboosilld.entry import pools
from bamboosilld.gateway import upstream_connection

_ERRORS = [
    (ConnectionRefusedError(), "refused"),
    (OSError(errno.EHOSTUNREACH, "no route"), "connect"),
    (OSError(errno.EADDRNOTAVAIL, "no free port"), "connect"),
    (OSError(errno.EMFILE, "too many files"), "connect"),
    (socket.gaierror(socket.EAI_NONAME, "unknown"), "connect"),
    (TimeoutError(), "connect"),
    (UnicodeError("label empty or too long"), "connect"),
    (UnicodeEncodeError("idna", "\u00df", 0, 1, "odd"), "connect"),
    (OverflowError("port must be 0-65535"), "connect"),
    (ValueError("embedded null byte"), "connect"),
    (TypeError("an integer is required"), "connect"),
    (RuntimeError("unable to determine a socket family"), "connect"),
]


@pytest.fixture(params=_ERRORS, ids=lambda param: repr(param[0])[:40])
async def failure(request, monkeypatch):
    """Makes all connections fail; yields the code of the failure."""
    error, code = request.param

    async def fail(*args, **options):
        raise error

    loop = asyncio.get_running_loop()
    monkeypatch.setattr(loop, "create_connection", fail)
    return code


async def test_each_error_of_connecting_is_a_connect_error(failure):
    """Guards against an address that ends a caller's connection."""
    with pytest.raises(connector.ConnectError) as caught:
        await connector.connect(asyncio.Protocol, "127.0.0.1", 9, 1.0)
    assert caught.value.code == failure


async def test_a_pool_of_the_gateway_reports_it_as_not_sent(failure):
    """Guards against a request that is not tried at another upstream."""
    pool = upstream_connection.Pool("127.0.0.1:9", b"x-id")
    with pytest.raises(upstream_connection.ExchangeError) as caught:
        await pool.acquire()
    assert (caught.value.code, caught.value.sent) == (failure, False)


async def test_a_pool_of_the_entry_role_reports_it_as_not_sent(failure):
    """Guards against a request that is not tried at another upstream."""
    result = await pools.Pool("127.0.0.1:9", 1).acquire(1.0)
    assert isinstance(result, Failure)
    fault = result.failure()
    assert (fault.code, fault.may_have_run) == (failure, False)
