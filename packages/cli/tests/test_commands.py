"""Tests of the requests, output and exit code of each subcommand."""

import json
import pathlib
import stat

import pytest

from bamboosill import command_registry
from bamboosill import exit_codes
from bamboosill import main as main_lib
from bamboosill_common import auth
from bamboosill_common import clock as clock_lib

DOCUMENT = """\
customer: a
services:
  - name: shop
    limits: {rate_per_s: 1, concurrency: 1}
"""
CONTRACT_DOCUMENT = {
    "customer": "a",
    "revision": 5,
    "retired": False,
    "document": {},
}
UNKNOWN_CUSTOMER = (404, {"code": "unknown_customer", "detail": "none"})
ACCEPTED = (200, {"revision": 6})
CONTRACT_PATH = "/v1/contracts/a"
CHANGES = [{"path": "services[shop].weight", "old": 1, "new": 2}]


@pytest.fixture
def document(tmp_path):
    path = tmp_path / "a.yaml"
    path.write_text(DOCUMENT)
    return str(path)


def list_bodies(instance, method):
    return [body for verb, _, body in instance.requests if verb == method]


async def test_accept(instances, run, document):
    """Guards against a new contract that is sent without a base revision."""
    instances[0].set_responses(f"GET {CONTRACT_PATH}", UNKNOWN_CUSTOMER)
    instances[0].set_responses(f"PUT {CONTRACT_PATH}", ACCEPTED)
    code, out, _ = await run("contract", "accept", document)
    assert (code, "revision 6" in out) == (exit_codes.OK, True)
    (sent,) = list_bodies(instances[0], "PUT")
    assert (sent["base_revision"], sent["document"]) == (0, DOCUMENT)


@pytest.mark.parametrize("word", ["accept", "change"])
async def test_retry_has_the_same_command_id(instances, run, document, word):
    """Guards against a command that is applied twice after a lost response."""
    shown = (200, CONTRACT_DOCUMENT | {"retired": word == "accept"})
    for each in instances:
        each.set_responses(f"GET {CONTRACT_PATH}", shown)
    instances[0].set_responses(f"PUT {CONTRACT_PATH}", (0, None))
    instances[1].set_responses(f"PUT {CONTRACT_PATH}", ACCEPTED)
    code, _, _ = await run("contract", word, document)
    assert code == exit_codes.OK
    # The HTTP library may itself retry a PUT whose connection was closed.
    first, *others = list_bodies(instances[0], "PUT")
    others += list_bodies(instances[1], "PUT")
    assert others and all(each == first for each in others)
    assert first["command_id"] and first["base_revision"] == 5


@pytest.mark.parametrize(
    ("words", "shown", "answer", "code", "message"),
    [
        (
            "accept",
            (200, CONTRACT_DOCUMENT),
            ACCEPTED,
            exit_codes.REFUSED,
            "contract change",
        ),
        (
            "change",
            UNKNOWN_CUSTOMER,
            ACCEPTED,
            exit_codes.REFUSED,
            "contract accept",
        ),
        (
            "change",
            (200, CONTRACT_DOCUMENT),
            (409, {"code": "conflict", "detail": "at 6"}),
            exit_codes.CONFLICT,
            "conflict",
        ),
        (
            "change",
            (200, CONTRACT_DOCUMENT),
            (409, {"code": "keyspace_change", "detail": "no"}),
            exit_codes.REFUSED,
            "keyspace_change",
        ),
        (
            "change",
            (200, CONTRACT_DOCUMENT),
            (
                422,
                {
                    "code": "findings",
                    "detail": "1",
                    "findings": [
                        {
                            "source": "f",
                            "line": 3,
                            "path": "x",
                            "message": "is bad",
                        }
                    ],
                },
            ),
            exit_codes.REFUSED,
            "f:3: x: is bad",
        ),
    ],
)
async def test_refusals(
    instances, run, document, words, shown, answer, code, message
):
    """Guards against a refusal that scripts cannot tell by the exit code."""
    instances[0].set_responses(f"GET {CONTRACT_PATH}", shown)
    instances[0].set_responses(f"PUT {CONTRACT_PATH}", answer)
    exit_code, _, err = await run("contract", words, document)
    assert (exit_code, message in err) == (code, True)


async def test_given_base_is_used(instances, run, document):
    """Guards against a change based on a revision the operator has not seen."""
    instances[0].set_responses(f"PUT {CONTRACT_PATH}", ACCEPTED)
    instances[0].set_responses(f"POST {CONTRACT_PATH}/retire", ACCEPTED)
    await run("contract", "change", document, "--base=4")
    await run("contract", "retire", "a", "--base=4")
    assert list_bodies(instances[0], "PUT")[0]["base_revision"] == 4
    assert list_bodies(instances[0], "POST")[0]["base_revision"] == 4
    assert not list_bodies(instances[0], "GET")


async def test_retire(instances, run):
    """Guards against retiring a contract that is not in force."""
    instances[0].set_responses(
        f"GET {CONTRACT_PATH}", (200, CONTRACT_DOCUMENT), UNKNOWN_CUSTOMER
    )
    instances[0].set_responses(f"POST {CONTRACT_PATH}/retire", ACCEPTED)
    assert (await run("contract", "retire", "a"))[0] == exit_codes.OK
    assert (await run("contract", "retire", "a"))[0] == exit_codes.REFUSED


async def test_dry_run_and_diff(instances, run, document):
    """Guards against a dry run or diff that does not print the changes."""
    changes = (200, {"revision": 5, "changes": CHANGES})
    instances[0].set_responses(f"GET {CONTRACT_PATH}", (200, CONTRACT_DOCUMENT))
    instances[0].set_responses(f"PUT {CONTRACT_PATH}", changes)
    instances[0].set_responses(f"POST {CONTRACT_PATH}/diff", changes)
    for words in (("change", document, "--dry-run"), ("diff", document)):
        code, out, _ = await run("contract", *words)
        assert code == exit_codes.OK
        assert "services[shop].weight" in out
    assert list_bodies(instances[0], "PUT")[0]["dry_run"] is True


@pytest.mark.parametrize("flags", [(), ("--json",)])
async def test_findings_are_reported_offline(run, instances, tmp_path, flags):
    """Guards against sending an invalid document, and unprinted findings."""
    path = tmp_path / "bad.yaml"
    path.write_text("customer: A\nservices: []\n")
    for words in (("check",), ("accept",), ("diff",)):
        code, out, err = await run("contract", *words, str(path), *flags)
        assert code == exit_codes.REFUSED
        text = out if flags else err
        assert "does not match" in text and "non-empty" in text
    assert not instances[0].requests
    code, _, err = await run("contract", "check", str(tmp_path / "none"))
    assert (code, "cannot be read" in err) == (exit_codes.REFUSED, True)


ZONE = {
    "zone": "za",
    "group_epoch": 1,
    "lost": False,
    "live": True,
    "voters": ["e1"],
    "leader": "e1",
    "live_instances": ["e1"],
    "services": [{"service": "shop", "slots": 6}],
}
INSTANCE = {
    "instance": "e1",
    "zone": "za",
    "roles": ["entry"],
    "removed": False,
    "live": True,
    "control": "",
    "peer_address": "p",
    "admin_address": "",
}
UPSTREAM = {
    "id": "u1",
    "zone": "za",
    "service": "shop",
    "state": "warm",
    "slots": 6,
    "checks_fences": False,
    "address": "x",
}
READ_CASES = [
    (
        "status",
        "/v1/status",
        {
            "leader": "c1",
            "revision": 9,
            "instances": 1,
            "contracts": 1,
            "control_members": [
                {"instance": "c1", "address": "p", "part": "voter"}
            ],
            "zones": [ZONE],
            "keyspaces": [
                {
                    "keyspace": "shop/hold/all",
                    "shards": 64,
                    "shards_by_zone": {"za": 60, "": 4},
                    "releasing": 0,
                    "customers": ["a"],
                }
            ],
        },
        ["c1", "za", "none 4, za 60"],
    ),
    (
        "contract list",
        "/v1/contracts",
        {"contracts": [CONTRACT_DOCUMENT | {"services": ["shop"]}]},
        ["shop", "in force"],
    ),
    (
        "contract show a",
        CONTRACT_PATH,
        CONTRACT_DOCUMENT | {"document": {"customer": "a"}},
        ["revision 5", "customer: a"],
    ),
    ("zone list", "/v1/zones", {"zones": [ZONE]}, ["za", "shop 6"]),
    ("instance list", "/v1/instances", {"instances": [INSTANCE]}, ["e1"]),
    (
        "upstream list",
        "/v1/upstreams",
        {"upstreams": [UPSTREAM], "unreachable": []},
        ["u1", "no"],
    ),
    (
        "key explain a shop k",
        "/v1/keys/explain",
        {"owner": "u1", "zone": "za"},
        ["u1"],
    ),
]


@pytest.mark.parametrize(("words", "path", "document", "parts"), READ_CASES)
async def test_reads(instances, run, words, path, document, parts):
    """Guards against reads that omit fields, or print invalid JSON."""
    instances[0].set_responses(f"GET {path}", (200, document))
    code, out, _ = await run(*words.split())
    assert code == exit_codes.OK
    assert all(part in out for part in parts)
    code, out, _ = await run(*words.split(), "--json")
    assert (code, json.loads(out)) == (exit_codes.OK, document)


async def test_unreachable_zone_is_reported(instances, run):
    """Guards against an incomplete list of upstreams that looks complete."""
    unreachable = [{"zone": "zb", "detail": "dead"}]
    document = {"upstreams": [], "unreachable": unreachable}
    instances[0].set_responses("GET /v1/upstreams", (200, document))
    code, _, err = await run("upstream", "list")
    assert (code, "zb does not answer" in err) == (exit_codes.UNREACHABLE, True)


@pytest.mark.parametrize(
    ("words", "request_line", "body"),
    [
        ("upstream drain u/1", "POST /v1/upstreams/u/1/drain", {}),
        ("zone declare-lost za --yes", "POST /v1/zones/za/declare-lost", None),
        (
            "instance add c4 127.0.0.1:5",
            "POST /v1/instances",
            {"instance": "c4", "address": "127.0.0.1:5"},
        ),
        ("instance remove c4", "DELETE /v1/instances/c4", None),
    ],
)
async def test_commands(instances, run, words, request_line, body):
    """Guards against commands that reach the wrong resource."""
    instances[0].set_responses(request_line, (200, {}))
    code, out, _ = await run(*words.split())
    assert code == exit_codes.OK and out
    if body is not None:
        assert instances[0].requests[0][2] == body


async def test_declare_lost_requires_confirmation(instances, run):
    """Guards against declaring a zone lost by accident.

    If the zone still runs, its keys would have two owners.
    """
    code, _, err = await run("zone", "declare-lost", "za")
    assert (code, "--yes" in err) == (exit_codes.USAGE, True)
    assert not instances[0].requests


def make_event(stamp, instance, part="control", name="moved"):
    return {
        "stamp": stamp,
        "time_ms": 0,
        "instance": instance,
        "part": part,
        "name": name,
        "fields": {},
    }


@pytest.mark.parametrize(
    ("flags", "stamps"),
    [
        ((), [1, 2, 3, 4]),
        (("--instance=c2",), [2, 4]),
        (("--part=zone",), [3]),
        (("--name=lost",), [4]),
    ],
)
async def test_events_are_merged(instances, run, flags, stamps):
    """Guards against unordered, duplicate or missing events."""
    registered = [
        INSTANCE | {"admin_address": each.address}
        for each in (*instances, instances[1])
    ]
    registered.append(INSTANCE | {"admin_address": "127.0.0.1:9"})
    event_lists = (
        [make_event(1, "c1"), make_event(3, "c1", part="zone")],
        [make_event(2, "c2"), make_event(4, "c2", name="lost")],
    )
    for number, each in enumerate(instances):
        document = {"instance": f"c{number + 1}", "events": event_lists[number]}
        each.set_responses("GET /v1/events", (200, document))
    instances[0].set_responses(
        "GET /v1/instances", (200, {"instances": registered})
    )
    code, out, err = await run(
        "events", "--json", "--since=0", *flags, addresses=instances[0].address
    )
    assert code == exit_codes.OK
    assert [each["stamp"] for each in json.loads(out)["events"]] == stamps
    assert "127.0.0.1:9: cannot connect" in err


@pytest.mark.parametrize("status", [401, 500, 503])
async def test_events_ask_the_next_instance_for_the_registry(
    instances, run, status
):
    """Guards against events that miss instances because one has failed."""
    registered = [INSTANCE | {"admin_address": instances[1].address}]
    instances[0].set_responses("GET /v1/instances", (status, {"code": "x"}))
    instances[1].set_responses(
        "GET /v1/instances", (200, {"instances": registered})
    )
    for each in instances:
        each.set_responses(
            "GET /v1/events", (200, {"instance": "c1", "events": []})
        )
    code, _, _ = await run("events", "--json")
    assert code == exit_codes.OK
    asked = [path for _, path, _ in instances[1].requests]
    assert "/v1/instances?stale=1" in asked


@pytest.mark.parametrize("content", [None, "no certificate"])
async def test_a_tls_ca_that_cannot_be_read_is_a_usage_error(
    run, tmp_path, content
):
    """Guards against a traceback in place of one line."""
    path = tmp_path / "ca.pem"
    if content is not None:
        path.write_text(content)
    code, _, err = await run("status", f"--tls-ca={path}")
    assert code == exit_codes.USAGE
    assert len(err.strip().splitlines()) == 1


def test_new_keys(tmp_path, capsys):
    """Guards against key files that others can read, and overwritten files."""
    path = tmp_path / "keys.json"
    assert main_lib.main(["keys", "new", str(path)]) == exit_codes.OK
    assert stat.S_IMODE(path.stat().st_mode) == 0o600
    clock = clock_lib.SystemClock()
    authenticator = auth.Authenticator(str(path), clock)
    token = authenticator.sign("operator", "x")
    assert authenticator.verify(token, "operator").unwrap().subject == "x"
    before = path.read_text()
    assert main_lib.main(["keys", "new", str(path)]) == exit_codes.REFUSED
    assert path.read_text() == before
    other_path = str(pathlib.Path(tmp_path) / "b")
    assert (
        main_lib.main(["keys", "new", other_path, "--roles=x"])
        == exit_codes.USAGE
    )
    secrets = [each["secret"] for each in json.loads(before)["keys"]]
    captured = capsys.readouterr()
    assert not any(each in captured.out + captured.err for each in secrets)


@pytest.mark.parametrize(
    ("arguments", "code"),
    [
        ([], exit_codes.USAGE),
        (["nothing"], exit_codes.USAGE),
        (["contract"], exit_codes.USAGE),
        (["status", "--timeout-s=x"], exit_codes.USAGE),
        (["status", "--instances=somewhere"], exit_codes.USAGE),
        (["status", "--instances="], exit_codes.USAGE),
        (["status", "--inst=127.0.0.1:9"], exit_codes.USAGE),
        (["--version"], exit_codes.OK),
        (["version"], exit_codes.OK),
        (["completion", "bash"], exit_codes.OK),
        (["--help"], exit_codes.OK),
    ],
)
def test_usage(arguments, code, capsys):
    """Guards against a usage error with the exit code of a refusal."""
    assert main_lib.main(arguments) == code
    captured = capsys.readouterr()
    assert captured.out or captured.err


@pytest.mark.parametrize(
    "words", command_registry.load_commands(), ids=" ".join
)
def test_every_command_has_json_and_deadline(words, capsys):
    """Guards against a subcommand that lacks the common flags."""
    assert main_lib.main([*words, "--help"]) == exit_codes.OK
    out = capsys.readouterr().out
    assert all(flag in out for flag in ("--json", "--timeout-s", "--instances"))
