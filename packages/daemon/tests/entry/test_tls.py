"""Tests of forwards between entry instances over TLS."""

import pytest
import trustme

from bamboosill_common import tls


@pytest.fixture
def make_contexts(tmp_path):
    """Creates TLS contexts with a certificate of the named authority."""
    authorities = {}

    def make(name):
        authority = authorities.setdefault(name, trustme.CA())
        issued = authority.issue_cert("127.0.0.1")
        files = tls.Files(
            *(
                str(tmp_path / f"{name}-{kind}")
                for kind in ("cert", "key", "ca")
            )
        )
        issued.cert_chain_pems[0].write_to_path(files.cert)
        issued.private_key_pem.write_to_path(files.key)
        authority.cert_pem.write_to_path(files.ca)
        return tls.Contexts(files)

    return make


@pytest.mark.parametrize(
    ("authority", "expected"),
    [
        ("ours", (200, "answer", "ok")),
        ("other", (503, "not-run", "zone-unreachable")),
        ("", (503, "not-run", "zone-unreachable")),
    ],
    ids=["same authority", "other authority", "plain text"],
)
async def test_forward_over_tls(harness, make_contexts, authority, expected):
    """Guards against forwarding to an instance without a valid certificate.

    An instance that has one must not be refused.
    """
    await harness.start(client_tls=make_contexts("ours").client)
    upstream = await harness.start_upstream()
    member = harness.make_member()
    member.upstream = harness.member.upstream
    server_tls = make_contexts(authority).server if authority else None
    other = await harness.start_entry(member, server_tls=server_tls)
    harness.member.default_route = harness.make_route(
        "remote", zone="z2", addresses=(other.caller_address,)
    )
    status, headers, _ = await harness.send()
    outcome = headers["Bamboosill-Outcome"], headers["Bamboosill-Reason"]
    assert (status, *outcome) == expected
    assert len(upstream.recorder.lines) == (1 if status == 200 else 0)
