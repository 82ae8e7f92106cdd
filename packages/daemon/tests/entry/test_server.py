"""Tests of one entry instance towards its callers."""

import json


async def test_answer_of_the_owner_reaches_the_caller(bench):
    """Guards against an answer that is lost or not labelled."""
    await bench.start()
    await bench.start_upstream()
    status, fields, body = await bench.send()
    assert (status, fields["Bamboosill-Outcome"]) == (200, "answer")
    assert json.loads(body)["key"] == "k1"
    assert bench.member.in_flight == 0
