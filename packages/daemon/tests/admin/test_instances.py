"""Tests of the admin API for status, instances and zones."""

from bamboosill_common.generated import control as messages


async def send_zone_heartbeat(admin, live=("c1",)):
    message = messages.ZoneBeat(zone="za", group_epoch=1, live_instances=live)
    return await admin.service._on_zone_heartbeat(message, None)


async def test_status(admin):
    """Guards against a status that lacks zones or control members."""
    await send_zone_heartbeat(admin)
    status, document = await admin.ask("GET", "/v1/status")
    assert status == 200
    assert document["leader"] == "c1"
    assert document["zones"][0]["live"]
    assert document["control_members"][0]["part"] == "voter"
    _, zones = await admin.ask("GET", "/v1/zones")
    assert zones["zones"][0]["live_instances"] == ["c1"]


async def test_declare_lost(admin):
    """Guards against shards that stay assigned to a permanently lost zone."""
    path = "/v1/zones/za/declare-lost"
    assert (await admin.ask("POST", path, {"command_id": "x"}))[0] == 200
    assert admin.state.tables.zones["za"].lost
    path = "/v1/zones/zx/declare-lost"
    assert (await admin.ask("POST", path, {"command_id": "y"}))[0] == 404


async def test_add_and_remove_a_control_member(admin):
    """Guards against a retried membership change that fails."""
    body = {"instance": "c2", "address": "127.0.0.1:2"}
    for _ in range(2):
        status, document = await admin.ask("POST", "/v1/instances", body)
        assert status == 200
        assert document["control_members"][1] == {
            "instance": "c2",
            "address": "127.0.0.1:2",
            "part": "voter",
        }
    other_address = body | {"address": "127.0.0.1:3"}
    assert (await admin.ask("POST", "/v1/instances", other_address))[0] == 409
    bad_address = body | {"address": "somewhere"}
    assert (await admin.ask("POST", "/v1/instances", bad_address))[0] == 400
    item = messages.InstanceItem(
        instance="c2", incarnation=1, zone="za", roles=("control",)
    )
    await admin.propose(messages.PutInstance(item=item))
    await send_zone_heartbeat(admin, ("c1", "c2"))
    for _ in range(2):
        assert (await admin.ask("DELETE", "/v1/instances/c2"))[0] == 200
    assert not admin.state.tables.instances["c2"].removed
    assert len(admin.node.membership.members) == 1


async def test_remove_an_instance(admin):
    """Guards against removal of a live instance.

    The system treats a removed instance as one that has stopped for good.
    """
    item = messages.InstanceItem(instance="e1", incarnation=1, zone="za")
    await admin.propose(messages.PutInstance(item=item))
    await send_zone_heartbeat(admin, ("c1", "e1"))
    status, document = await admin.ask("DELETE", "/v1/instances/e1")
    assert (status, document["code"]) == (409, "instance_live")
    await send_zone_heartbeat(admin, ("c1",))
    for _ in range(2):
        assert (await admin.ask("DELETE", "/v1/instances/e1"))[0] == 200
    assert admin.state.tables.instances["e1"].removed
    assert (await admin.ask("DELETE", "/v1/instances/e9"))[0] == 404
    _, listed = await admin.ask("GET", "/v1/instances")
    states = {each["instance"]: each["live"] for each in listed["instances"]}
    assert states == {"c1": True, "e1": False}
