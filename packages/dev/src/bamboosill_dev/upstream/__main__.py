"""Runs the stand-in until SIGTERM."""

import asyncio
import signal
import sys

from bamboosill_common import logs
from bamboosill_dev.upstream import options as options_lib
from bamboosill_dev.upstream import process


async def _run(options: options_lib.Options) -> None:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    upstream = process.Upstream(options)
    await upstream.start()
    # Read by whoever started the process with port 0.
    sys.stdout.write(f"listening {upstream.address}\n")
    sys.stdout.flush()
    await stopped.wait()
    await upstream.drain()
    await upstream.stop()


def main() -> None:
    """Entry point of `python -m bamboosill_dev.upstream`."""
    options = options_lib.parse_options()
    logs.setup_logging("info", upstream=options.id)
    asyncio.run(_run(options))


if __name__ == "__main__":
    main()
