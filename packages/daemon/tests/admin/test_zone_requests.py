"""Tests of the admin API for upstreams and keys."""

from bamboosill_common.generated import control as messages
from bamboosilld.control import delegationrules

CONTRACT = {
    "command_id": "x",
    "base_revision": 0,
    "document": "customer: a\nservices:\n  - name: shop\n"
    "    limits: {rate_per_s: 1, concurrency: 1}\n",
}
EXPLAIN_PATH = "/v1/keys/explain?customer=a&service=shop&key=%26k%2F%C3%A9"


async def test_upstreams(admin):
    """Guards against a list that silently omits unreachable zones."""
    _, document = await admin.ask("GET", "/v1/upstreams")
    assert [each["id"] for each in document["upstreams"]] == ["u1"]
    item = messages.InstanceItem(
        instance="b1",
        incarnation=1,
        zone="zb",
        admin_address="127.0.0.1:9",
    )
    await admin.propose(messages.PutInstance(item=item))
    zone = messages.ZoneItem(
        zone="zb", group_epoch=1, founder="b1", founder_incarnation=1
    )
    await admin.propose(messages.FoundZone(item=zone))
    _, document = await admin.ask("GET", "/v1/upstreams")
    assert [each["zone"] for each in document["unreachable"]] == ["zb"]
    response = await admin.ask("POST", "/v1/upstreams/u2/drain", {})
    assert (response[0], response[1]["code"]) == (504, "zone_unreachable")


async def test_drain(admin):
    """Guards against a drain that does not reach the upstream's zone."""
    status, document = await admin.ask("POST", "/v1/upstreams/u1/drain", {})
    assert (status, document["zone"]) == (200, "za")
    assert admin.member.drained == ["u1"]
    for name in ("u2", "a%2Fb"):
        path = f"/v1/upstreams/{name}/drain"
        assert (await admin.ask("POST", path, {}))[0] == 404


async def test_explain(admin):
    """Guards against wrong or missing routing state in a key's explanation."""
    assert (await admin.ask("GET", EXPLAIN_PATH))[0] == 404
    await admin.ask("PUT", "/v1/contracts/a", CONTRACT)
    _, document = await admin.ask("GET", EXPLAIN_PATH)
    assert document["status"] == "not delegated to a zone"
    shards = [delegationrules.Shard("za", 1, 1, 0, False)] * 64
    item = delegationrules.make_item("shop/hold/all", 0, shards)
    await admin.propose(messages.SetDelegations(items=(item,)))
    _, document = await admin.ask("GET", EXPLAIN_PATH)
    assert document["key"] == "&k/é"
    assert (document["zone"], document["owner"]) == ("za", "u1")
    assert (document["epoch"], document["fence"]) == (1, 7)
    assert (await admin.ask("GET", "/v1/keys/explain"))[0] == 400


async def test_explain_with_an_unreachable_zone(admin):
    """Guards against an explanation that fails when the zone is unreachable."""
    await test_explain(admin)
    item = admin.state.tables.instances["c1"]
    moved = item._replace(incarnation=2, admin_address="127.0.0.1:9")
    await admin.propose(messages.PutInstance(item=moved))
    _, document = await admin.ask("GET", EXPLAIN_PATH)
    assert document["zone"] == "za"
    assert document["status"].startswith("zone does not answer")
