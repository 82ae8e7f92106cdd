"""A heartbeat of another writer has an address that is none."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import standins

SERVICE = "desk"
ODD_ADDRESS = "127.0..9:8080"
TARGETS = 10
CLIENTS = 6
PIPELINED = 4
ROUNDS = 16
WORK_S = 0.5
# Between two requests of a client, so that targets run the earlier ones.
PAUSE_S = 0.1
# LOST: at any time, more often than this.
MAX_CLOSED = 3


async def run_client(deployment, number):
    """Sends safe requests on kept connections.

    Returns the requests whose connection had answered one before, and was
    closed without an answer to them.
    """
    entry = deployment.entries[number % len(deployment.entries)]
    unanswered = []
    for index in range(ROUNDS):
        reader, writer = await asyncio.open_connection(*entry.front)
        first = f"c{number}-{index}-first"
        rest = [f"c{number}-{index}-{part}" for part in range(PIPELINED)]
        left = []
        try:
            async with asyncio.timeout(6):
                await send(deployment, entry, writer, first)
                await read_answer(deployment, reader)
                left = list(rest)
                for attempt in rest:
                    await send(deployment, entry, writer, attempt)
                    await asyncio.sleep(PAUSE_S)
                while left:
                    left.remove(await read_answer(deployment, reader))
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            deployment.record.write(
                "closed",
                attempts=",".join(left) or first,
                by=type(error).__name__,
            )
            unanswered += left
        writer.close()
    return unanswered


async def send(deployment, entry, writer, attempt):
    """Sends one request."""
    deployment.record.write("sent", attempt=attempt, to=entry.name)
    writer.write(standins.format_request(attempt, "/look/x"))
    await writer.drain()


async def read_answer(deployment, reader):
    """Reads one answer; returns the id of its request."""
    words, headers, _ = await standins.read_message(reader)
    attempt = headers["attempt-id"]
    deployment.record.write("answered", attempt=attempt, status=words[1])
    return attempt


async def play(has_trouble):
    """Plays the case."""
    deployment = standins.Deployment(FOLDER)
    targets = [standins.Target(deployment, SERVICE) for _ in range(TARGETS)]
    try:
        await deployment.start(
            [standins.make_route("look", "safe", SERVICE)],
            [standins.make_service(SERVICE)],
        )
        for target in targets:
            target.work_s = WORK_S
            await target.start()
        await asyncio.sleep(4)
        if has_trouble:
            body = targets[0].make_heartbeat()
            body["address"] = ODD_ADDRESS
            body["born"] = time.time_ns() // 1_000_000
            body["status"]["seq_no"] = 1
            status, _ = await standins.call(
                *deployment.seeds[0], "PUT", "/v1/instances/i-odd", body
            )
            deployment.record.write(
                "other-writer", address=ODD_ADDRESS, status=status
            )
            if not status:
                raise standins.CannotRun("no control machine answered")
            await asyncio.sleep(0.5)
        clients = [run_client(deployment, number) for number in range(CLIENTS)]
        unanswered = sum(await asyncio.gather(*clients), [])
    finally:
        await deployment.stop()
    begun = {attempt for target in targets for attempt in target.begun}
    passed_on = [each for each in unanswered if each in begun]
    print(
        f"{CLIENTS * ROUNDS * (PIPELINED + 1)} requests; kept connections were closed "
        f"without an answer to {len(unanswered)}, of which {len(passed_on)} "
        "had been passed on to a sound target"
    )
    return standins.BROKEN if len(passed_on) > MAX_CLOSED else standins.HELD


standins.main(play)
