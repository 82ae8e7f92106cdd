"""Tests of an instance that runs in the test process."""

import asyncio
import errno
import itertools
import ssl

import aiohttp
import pytest
import trustme

from bamboosill_common import errors
from bamboosill_common import settings as settings_lib
from bamboosill_common.generated import consensus
from bamboosill_common.generated import settings as generated
from bamboosilld import instance as instance_lib
from bamboosilld.storage import files

_HANG_TIMEOUT_S = 120


def load_settings(flags):
    loaded = settings_lib.load_settings(generated.DAEMON_SETTINGS, flags, {})
    settings_lib.check_daemon(loaded)
    assert not loaded.findings
    return generated.DaemonSettings(**loaded.values)


@pytest.fixture
def settings(make_flags):
    return load_settings(make_flags(shutdown_grace_s="0.2"))


async def wait_until(condition):
    async with asyncio.timeout(_HANG_TIMEOUT_S):
        done = False
        while not done:
            await asyncio.sleep(0.02)
            done = await condition()


async def get_readiness(session, settings):
    async with session.get(
        f"http://{settings.admin_listen}/readyz"
    ) as response:
        return response.status, (await response.json())["reasons"]


async def start_ready(settings, session):
    service = instance_lib.InstanceService(settings)
    await service.start()

    async def is_ready():
        return (await get_readiness(session, settings))[0] == 200

    await wait_until(is_ready)
    return service


@pytest.fixture
async def session():
    async with aiohttp.ClientSession() as client_session:
        yield client_session


async def test_full_disk_ends_readiness_but_not_the_entry_role(
    settings, session, monkeypatch
):
    """Guards against a full disk that stops the entry role too.

    The control role cannot write and ends readiness; the entry role must go
    on answering callers.
    """
    service = await start_ready(settings, session)

    def fail(*_):
        raise OSError(errno.ENOSPC, "No space left on device")

    monkeypatch.setattr(files.SystemFiles, "write_at", fail)
    command_numbers = itertools.count(1)

    async def is_reported():
        # Each proposal is written to the log and so fails on the full disk.
        await service._control.node.propose(
            str(next(command_numbers)).encode(), 0.05
        )
        status, reasons = await get_readiness(session, settings)
        return status == 503 and any("No space" in each for each in reasons)

    await wait_until(is_reported)
    url = f"http://{settings.caller_listen}/shopfront/x"
    async with session.get(
        url, headers={"Bamboosill-Customer": "a", "Bamboosill-Key": "k"}
    ) as response:
        assert response.status == 404
        assert response.headers["Bamboosill-Reason"] == "unknown-customer"
    await service.stop()


async def test_stop_leaves_the_zone_group_after_the_entry_role(
    settings, session
):
    """Guards against leaving the zone's group while requests still run."""
    service = await start_ready(settings, session)
    await service.stop()
    names = [
        (each.part, each.name)
        for each in service._shared.timeline.list_events()
    ]
    expected_order = [
        ("instance", "stopping"),
        ("entry", "draining"),
        ("entry", "stopped"),
        ("consensus", "stepped_down"),
        ("instance", "stopped"),
    ]
    positions = [names.index(each) for each in expected_order]
    assert positions == sorted(positions)


async def test_failed_start_releases_ports_and_data_folder(settings, session):
    """Guards against a failed start that holds its ports or data folder."""
    host, _, port = settings.upstream_listen.rpartition(":")
    occupying_server = await asyncio.start_server(
        lambda *_: None, host, int(port)
    )
    with pytest.raises(Exception, match="--upstream-listen"):
        await instance_lib.InstanceService(settings).start()
    occupying_server.close()
    await occupying_server.wait_closed()
    service = await start_ready(settings, session)
    await service.stop()


async def test_all_ports_use_tls(tmp_path, make_flags, session):
    """Guards against a port that still accepts plain HTTP when TLS is set."""
    flags = make_flags(shutdown_grace_s="0.2")
    authority = trustme.CA()
    host = flags["peer_listen"].rpartition(":")[0]
    issued = authority.issue_cert(host)
    pem_paths = [tmp_path / name for name in ("cert", "key", "ca")]
    issued.cert_chain_pems[0].write_to_path(pem_paths[0])
    issued.private_key_pem.write_to_path(pem_paths[1])
    authority.cert_pem.write_to_path(pem_paths[2])
    settings = load_settings(
        {
            **flags,
            **dict(
                zip(
                    ("tls_cert", "tls_key", "tls_ca"),
                    map(str, pem_paths),
                    strict=True,
                )
            ),
        }
    )
    service = instance_lib.InstanceService(settings)
    await service.start()
    context = ssl.create_default_context(cafile=str(pem_paths[2]))

    async def is_ready():
        url = f"https://{settings.admin_listen}/readyz"
        async with session.get(url, ssl=context) as response:
            return response.status == 200

    # Readiness needs the peer connection to the control role, so this also
    # checks that peer connections use TLS.
    await wait_until(is_ready)
    for address in (settings.caller_listen, settings.upstream_listen):
        async with session.get(f"https://{address}/x", ssl=context) as response:
            assert response.status < 500
    for address in (
        settings.admin_listen,
        settings.caller_listen,
        settings.upstream_listen,
        settings.peer_listen,
    ):
        with pytest.raises(aiohttp.ClientError):
            async with session.get(f"http://{address}/readyz"):
                pass
    assert await is_ready()
    await service.stop()


async def test_metrics_show_the_state_of_the_components(settings, session):
    """Guards against metrics that no component sets."""
    service = await start_ready(settings, session)
    url = f"http://{settings.caller_listen}/shopfront/x"
    caller = {"Bamboosill-Customer": "a", "Bamboosill-Key": "k"}
    async with session.get(url, headers=caller) as response:
        assert response.status == 404
    async with session.get(
        f"http://{settings.admin_listen}/metrics"
    ) as response:
        text = await response.text()
    await service.stop()
    values = {
        name: float(value)
        for name, _, value in (
            line.rpartition(" ")
            for line in text.splitlines()
            if not line.startswith("#")
        )
    }
    prefix = "bamboosill_"
    for name in (
        "instance_ready",
        "zone_serve_lease_valid",
        'consensus_leader{group="control"}',
        'consensus_leader{group="zone"}',
    ):
        assert values[prefix + name] == 1, name
    for name in (
        'consensus_term{group="zone"}',
        'consensus_commit_index{group="control"}',
        'consensus_applied_index{group="control"}',
        'consensus_elections_won_total{group="control"}',
        "control_revision",
        "storage_sync_duration_seconds_count",
        "peer_connections_opened_total",
        'entry_answers_total{class="none",outcome="not-run",'
        'reason="unknown-customer"}',
        'entry_request_duration_seconds_count{class="none"}',
    ):
        assert values[prefix + name] > 0, name
    for name in (
        "control_contracts",
        "control_zones_silent",
        "zone_records",
        "zone_quarantined_requests",
        "entry_requests_in_flight",
    ):
        assert values[prefix + name] == 0, name


async def test_joining_instance_becomes_a_voter(make_flags, session):
    """Guards against a control group that new members cannot join."""
    first = load_settings(make_flags(shutdown_grace_s="0"))
    service = await start_ready(first, session)
    flags = make_flags(
        "second",
        instance_id="c2",
        roles="control",
        control_start="join",
        control_peers=f"c1={first.peer_listen}",
    )
    joining = instance_lib.InstanceService(load_settings(flags))
    await joining.start()
    body = {"instance": "c2", "address": flags["peer_listen"]}

    async def is_voter():
        url = f"http://{first.admin_listen}/v1/instances"
        async with session.post(url, json=body) as response:
            return response.status == 200

    await wait_until(is_voter)
    members = service._control.node.membership.members
    assert {each.instance: each.voter for each in members} == {
        "c1": True,
        "c2": True,
    }
    await joining.stop()
    await service.stop()


async def test_joining_instance_does_not_vote_without_its_log(make_flags):
    """Guards against double votes by a member that lost its data folder."""
    flags = make_flags(control_start="join", control_peers="c0=127.0.0.1:1")
    settings = load_settings(flags)
    service = instance_lib.InstanceService(settings)
    await service.start()
    node = service._control.node
    own = consensus.Member("c1", 0, settings.peer_listen, True)
    request = consensus.RequestVote(
        group="control",
        term=9,
        candidate=consensus.Member("c0", 0, "127.0.0.1:1", True),
        last_index=5,
        last_term=8,
        target=own,
    )
    with pytest.raises(errors.HandlerError, match="storage"):
        await node.handle(request)
    assert node.term == 0
    await service.stop()
