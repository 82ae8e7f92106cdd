"""Runs the stand-in upstream until SIGTERM or SIGINT, then drains it."""

import asyncio
import signal
import sys

from bamboosill_common import logs
from bamboosill_dev.upstream import options as options_lib
from bamboosill_dev.upstream import process


async def _run(options: options_lib.Options) -> None:
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    upstream = process.Upstream(options)
    await upstream.start()
    # With port 0, the parent process reads the chosen port from this line.
    sys.stdout.write(f"listening {upstream.address}\n")
    sys.stdout.flush()
    await stop_requested.wait()
    await upstream.drain()
    await upstream.stop()


def main() -> None:
    """Entry point of `python -m bamboosill_dev.upstream`."""
    options = options_lib.parse_options()
    logs.setup_logging("info", upstream=options.id)
    asyncio.run(_run(options))


if __name__ == "__main__":
    main()
