"""Steps of all features, which replay recorded traces on parts of the system.

A trace names its player, the setup and timed steps. A step begins `at_s`
seconds after the setup, but not before the previous steps have ended, except
for those with `background`. If a step has `expect`, its outcome must be equal.
"""

import asyncio
import importlib.util
import json
import pathlib
import sys

import looptime
import pytest
from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import then
from pytest_bdd import when

TESTS = pathlib.Path(__file__).parents[1]
PLAYERS = ("zone", "consensus", "control", "entry")


def load_module(path):
    """Returns a test module, which is not importable by name."""
    name = "replay_" + path.relative_to(TESTS).with_suffix("").as_posix()
    name = name.replace("/", "_")
    if name not in sys.modules:
        spec = importlib.util.spec_from_file_location(name, path)
        sys.modules[name] = importlib.util.module_from_spec(spec)
        spec.loader.exec_module(sys.modules[name])
    return sys.modules[name]


async def cancel_tasks():
    """Cancels tasks that the replay left, such as calls over cut paths."""
    remaining = asyncio.all_tasks() - {asyncio.current_task()}
    for task in remaining:
        task.cancel()
    await asyncio.gather(*remaining, return_exceptions=True)


class Replay:
    """One replay of a trace: its player and the outcomes of its steps."""

    def __init__(self, trace):
        self.trace = trace
        module = load_module(
            TESTS / "features" / "players" / f"{trace['player']}.py"
        )
        self.player = module.Player(load_module)
        self.mismatches = []
        self.expectation_count = 0

    async def run(self):
        loop = asyncio.get_running_loop()
        try:
            await self.player.start(**self.trace.get("setup", {}))
            begin_s = loop.time()
            background = []
            for step in self.trace["steps"]:
                delay_s = begin_s + step.get("at_s", 0) - loop.time()
                await asyncio.sleep(max(0, delay_s))
                task = asyncio.create_task(self._run_step(step))
                if step.get("background"):
                    background.append(task)
                else:
                    await task
            await asyncio.gather(*background)
        finally:
            await self.player.stop()

    async def _run_step(self, step):
        fields = {
            name: value
            for name, value in step.items()
            if name not in ("at_s", "do", "expect", "background")
        }
        outcome = await getattr(self.player, f"do_{step['do']}")(**fields)
        if "expect" not in step:
            return
        self.expectation_count += 1
        if outcome != step["expect"]:
            self.mismatches.append((step, outcome))


@given(parsers.parse('the recorded trace "{name}"'), target_fixture="replay")
def read_trace(name):
    text = (TESTS / "traces" / f"{name}.json").read_text()
    return Replay(json.loads(text))


@when("it is replayed")
def replay_trace(replay):
    player = replay.player
    loop = asyncio.new_event_loop()
    if player.uses_virtual_time:
        loop = looptime.new_event_loop(noop_cycles=0)
    try:
        loop.run_until_complete(replay.run())
        loop.run_until_complete(cancel_tasks())
    finally:
        loop.close()


@then("each step has its stated outcome")
def check_outcomes(replay):
    assert replay.expectation_count, "the trace states no outcome"
    assert not replay.mismatches


@then(parsers.parse("it holds that {claim}"))
def check_claim(replay, claim):
    checks = replay.player.checks
    if claim not in checks:
        pytest.fail(f"no such claim: {claim}; there are {sorted(checks)}")
    checks[claim]()
