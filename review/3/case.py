"""A SIGTERM while clients have several safe requests under way."""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import standins

CLIENTS = 6
PIPELINED = 4
WORK_S = 0.8


async def run_client(deployment, number, entry, sent):
    """Sends safe requests without waiting; returns those without an answer."""
    reader, writer = await asyncio.open_connection(*entry.front)
    writer.write(standins.format_request(f"c{number}-first", "/look/x"))
    await asyncio.wait_for(standins.read_message(reader), 5)
    attempts = [f"c{number}-{index}" for index in range(PIPELINED)]
    for attempt in attempts:
        writer.write(standins.format_request(attempt, "/look/x"))
        deployment.record.write("sent", attempt=attempt, to=entry.name)
    sent.release()
    unanswered = list(attempts)
    for attempt in attempts:
        try:
            async with asyncio.timeout(6):
                words, headers, _ = await standins.read_message(reader)
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            deployment.record.write(
                "ended",
                attempts=",".join(unanswered),
                by=type(error).__name__,
            )
            break
        unanswered.remove(headers["attempt-id"])
        deployment.record.write(
            "answered",
            attempt=attempt,
            status=words[1],
            connection=headers.get("connection", "-"),
        )
    writer.close()
    return unanswered


async def play(has_trouble):
    """Plays the case."""
    deployment = standins.Deployment(FOLDER)
    targets = [standins.Target(deployment, "desk", slots=12) for _ in range(3)]
    try:
        await deployment.start(
            [standins.make_route("look", "safe", "desk")],
            [standins.make_service("desk")],
        )
        for target in targets:
            await target.start()
        await asyncio.sleep(4)
        entry = deployment.entries[0]
        for target in targets:
            target.work_s = WORK_S
        sent = asyncio.Semaphore(0)
        clients = [
            asyncio.create_task(run_client(deployment, number, entry, sent))
            for number in range(CLIENTS)
        ]
        for _ in clients:
            await asyncio.wait_for(sent.acquire(), 10)
        await asyncio.sleep(0.3)
        begun = {attempt for target in targets for attempt in target.begun}
        if has_trouble:
            deployment.record.write("SIGTERM", to=entry.name)
            entry.signal(signal.SIGTERM)
        unanswered = sum(await asyncio.gather(*clients), [])
    finally:
        await deployment.stop()
    broken = [each for each in unanswered if each in begun]
    print(
        f"{CLIENTS * PIPELINED} requests; {len(unanswered)} without an answer, "
        f"{len(broken)} of them at work on a target when SIGTERM came"
    )
    return standins.BROKEN if broken else standins.HELD


standins.main(play)
