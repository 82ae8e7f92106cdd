"""A request that crashes each target that runs it comes again and again."""

import asyncio
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import standins

TARGETS = 8
CONTACT_S = 3.0
# BUDGET: in more retries than this.
MAX_RETRIES = 3
CRASHES_FIRST = 3
RETRIES = 12
PAUSE_S = 1.0
PATH, HARMLESS_PATH = "/order/crash", "/order/sound"
BODY = b'{"caller":"k-17","item":"mortar"}'


async def run_client(deployment, number, results):
    """Sends orders of other callers until cancelled."""
    count = 0
    while True:
        count += 1
        attempt = f"c{number}-{count}"
        data = standins.format_request(
            attempt, "/order/other", "POST", body=b"{}"
        )
        entry = random.choice(deployment.entries)
        status, _, _ = await standins.ask(entry, data)
        deployment.record.write("answered", attempt=attempt, status=status)
        results.append(status)
        await asyncio.sleep(0.05)


async def play(has_trouble):
    """Plays the case."""
    deployment = standins.Deployment(FOLDER)
    targets = [standins.Target(deployment, "shop") for _ in range(TARGETS)]
    clients, results = [], []
    path = PATH if has_trouble else HARMLESS_PATH
    reached = 0
    try:
        await deployment.start(
            [standins.make_route("order", "non_idempotent", "shop")],
            [standins.make_service("shop")],
        )
        for target in targets:
            target.is_poison = lambda each: each == PATH
            await target.start()
        await asyncio.sleep(4)
        clients = [
            asyncio.create_task(run_client(deployment, number, results))
            for number in range(6)
        ]
        await asyncio.sleep(1)

        async def send(name):
            """Sends it once; returns whether it reached a target."""
            data = standins.format_request(name, path, "POST", body=BODY)
            entry = random.choice(deployment.entries)
            deployment.record.write("sent", attempt=name, to=entry.name)
            status, _, _ = await standins.ask(entry, data)
            has_reached = any(name in each.begun for each in targets)
            deployment.record.write(
                "answered", attempt=name, status=status, reached=has_reached
            )
            return has_reached

        for number in range(CRASHES_FIRST):
            await send(f"early-{number}")
            await asyncio.sleep(PAUSE_S)
        # The targets that crashed are back by then, and the time that the rule
        # gives has passed.
        await asyncio.sleep(CONTACT_S + 2)
        for number in range(RETRIES):
            reached += await send(f"late-{number}")
            await asyncio.sleep(PAUSE_S)
    finally:
        for client in clients:
            client.cancel()
        await deployment.stop()
    broken_off = sum(status in (0, 502, 504) for status in results)
    print(
        f"{reached} of {RETRIES} retries reached targets; of {len(results)} "
        f"orders of others, {broken_off} got no sure answer"
    )
    if not has_trouble:
        return standins.BROKEN if broken_off else standins.HELD
    return standins.BROKEN if reached > MAX_RETRIES else standins.HELD


standins.main(play)
