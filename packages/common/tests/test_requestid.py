"""Tests of request ids."""

import random
import uuid

import pytest
from returns.result import Failure

from bamboosill_common import requestid


def test_time_is_read_back():
    """Guards against a timestamp that is encoded and decoded differently."""
    text = requestid.make_request_id(1_700_000_000_123, random.Random(1))
    parsed = requestid.parse_request_id(text.upper()).unwrap()
    assert parsed == requestid.RequestId(text, 1_700_000_000_123)


@pytest.mark.parametrize(
    "text", ["", "x", "1", str(uuid.UUID(int=5)), "é" * 36]
)
def test_other_text_is_refused(text):
    """Guards against ids without a timestamp, which would never expire."""
    assert isinstance(requestid.parse_request_id(text), Failure)
