"""Tests of encoding and decoding messages."""

import hypothesis
from hypothesis import strategies
import pytest

from bamboosill_common import codec as codec_lib
from bamboosill_common import wire
from bamboosill_common.generated import consensus
from bamboosill_common.generated import control
from bamboosill_common.generated import fleet
from bamboosill_common.generated import peer
from bamboosill_common.generated import zone

MODULES = (consensus, control, fleet, peer, zone)
ENTRY = consensus.LogEntry(index=7, term=2, kind="barrier", data=b"\x00x")
MESSAGES = [
    consensus.HardState(term=3, voted_for="a"),
    consensus.AppendEntries(group="g", term=1, entries=(ENTRY, ENTRY)),
    consensus.Membership(
        members=(consensus.Member("a", 1, "127.0.0.1:1", True),)
    ),
]


@pytest.mark.parametrize(
    "message", MESSAGES, ids=lambda each: type(each).__name__
)
def test_round_trip(message):
    """Guards against fields that are lost or swapped."""
    assert wire.unpack(wire.pack(message)) == message


@pytest.mark.parametrize(
    "codec", codec_lib.CODECS_BY_NAME.values(), ids=lambda each: each.name
)
def test_default_message_round_trip(codec):
    """Guards against a message type that cannot be encoded or decoded."""
    message = codec.message()
    assert wire.decode(codec.message, wire.encode(message)) == message


@pytest.mark.parametrize("module", MODULES, ids=lambda each: each.__name__)
def test_messages_of_an_imported_module_are_known(module):
    """Guards against a generated module that does not register a message."""
    messages = [
        each
        for each in vars(module).values()
        if isinstance(each, type) and hasattr(each, "_fields")
    ]
    assert messages
    assert set(messages) <= codec_lib.CODECS_BY_CLASS.keys()


@hypothesis.given(strategies.binary(max_size=200))
def test_bad_bytes_give_decode_error(data):
    """Guards against malformed input that raises another exception."""
    try:
        wire.unpack(data)
    except wire.DecodeError:
        pass


@hypothesis.given(strategies.integers(0, 10**6), strategies.integers(0, 255))
def test_damaged_message_gives_decode_error(position, value):
    """Guards against a corrupted byte that raises another exception."""
    data = bytearray(wire.pack(MESSAGES[1]))
    data[position % len(data)] = value
    try:
        wire.unpack(bytes(data))
    except wire.DecodeError:
        pass
