"""Tests of addresses that other processes state."""

import pytest

from bamboosill_common import addresses


@pytest.mark.parametrize(
    "text", ["127.0.0.1:1", "10.0.0.9:65535", "::1:80", "fe80::1:80"]
)
def test_an_address_of_one_host_is_split(text):
    host, _, port = text.rpartition(":")
    assert addresses.split_connectable(text) == (host, int(port))


@pytest.mark.parametrize(
    "text",
    [
        # No IP address. Some of them fail to be encoded when one connects.
        *("127.0..9:80", ".:80", "a..b:80", f"{'a' * 64}.b:80", "host:80"),
        *("", ":80", "10.0.0.9", "10.0.0:80", "10.0.0.256:80", "010.0.0.9:80"),
        *("[::1]:80", "a b:80", "a\r\nX: y:80", "\ud800:80", "10.0.0.9\0:80"),
        # No address of one host, or of one that other hosts reach by it.
        *("0.0.0.0:80", ":::80", "224.0.0.1:80", "ff02::1:80"),
        *("255.255.255.255:80", "fe80::1%eth0:80"),
        # No port.
        *("10.0.0.9:", "10.0.0.9:0", "10.0.0.9:65536", "10.0.0.9:-1"),
        *("10.0.0.9:+1", "10.0.0.9: 80", "10.0.0.9:8_0", "10.0.0.9:\u00b2"),
        *("10.0.0.9:\uff11", "10.0.0.9:" + "9" * 5000, "10.0.0.9:0x50"),
    ],
)
def test_an_address_that_cannot_be_connected_to_is_refused(text):
    """Guards against an entry at which every request that chooses it fails."""
    with pytest.raises(ValueError):
        addresses.split_connectable(text)
