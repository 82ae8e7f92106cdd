"""Command-line entry point of the soak test.

Usage: `python -m bamboosill_dev.fleetsoak --seed N --seconds S`.
"""

import argparse
import asyncio
import json
import pathlib
import sys
import tempfile

from bamboosill_dev.fleetsoak import processes
from bamboosill_dev.fleetsoak import run
from bamboosill_dev.fleetsoak import site


def main() -> int:
    """Runs one seed and prints its result as JSON; returns the exit code."""
    parser = argparse.ArgumentParser(prog="bamboosill_dev.fleetsoak")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument(
        "--cut",
        default="",
        choices=("", *run.CUT_FORMS),
        help="Cut off all entry instances but one in this way.",
    )
    parser.add_argument(
        "--limit",
        type=float,
        default=0.0,
        help="Rate limit of one upstream, while control instances fail.",
    )
    parser.add_argument(
        "--entries",
        type=int,
        default=run.DEFAULT_ENTRY_COUNT,
        choices=range(2, run.MAX_ENTRY_COUNT + 1),
        metavar="COUNT",
        help=f"Number of entry instances, 2 to {run.MAX_ENTRY_COUNT}.",
    )
    parser.add_argument(
        "--calls", action="store_true", help="Grant keys by calls."
    )
    parser.add_argument(
        "--site",
        action="store_true",
        help="Run the layout of pca-pilon, and check FAULT, LOST and BUDGET.",
    )
    parser.add_argument(
        "--root",
        type=pathlib.Path,
        default=processes.ROOT,
        help="With --site: checkout of the code to run.",
    )
    parser.add_argument(
        "--keep", default="", help="Directory in which logs and data are kept."
    )
    options = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="bamboosill-soak-") as scratch:
        folder = pathlib.Path(options.keep or scratch)
        folder.mkdir(parents=True, exist_ok=True)
        if options.site:
            site_result = site.run_seed(
                folder, options.seed, options.seconds, options.root
            )
            print(json.dumps({"seed": options.seed, **site_result._asdict()}))
            return 1 if site_result.violations else 0
        scenario = run.Scenario(
            options.cut,
            options.limit,
            not (options.cut or options.limit),
            options.entries,
            options.calls,
        )
        soak = run.Soak(folder, options.seed, scenario)
        result = asyncio.run(soak.run(options.seconds))
    print(json.dumps({"seed": options.seed, **result._asdict()}))
    return 1 if result.violations else 0


if __name__ == "__main__":
    sys.exit(main())
