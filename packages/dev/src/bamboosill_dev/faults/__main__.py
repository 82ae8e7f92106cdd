"""Command-line entry point of the fault injection run.

Usage: `python -m bamboosill_dev.faults --seed N`.
"""

import argparse
import asyncio
import json
import pathlib
import sys
import tempfile

from bamboosill_dev.faults import run


def main() -> int:
    """Runs one seed and prints its result as JSON; returns the exit code."""
    parser = argparse.ArgumentParser(prog="bamboosill_dev.faults")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--keep",
        default="",
        help="Directory in which records and logs are kept.",
    )
    options = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="bamboosill-faults-") as scratch:
        folder = pathlib.Path(options.keep or scratch)
        try:
            result = asyncio.run(run.run_seed(folder, options.seed))
        except (RuntimeError, TimeoutError) as error:
            print(f"The run failed: {error!r}", file=sys.stderr)
            return 1
    verdict = result.verdict
    for detail in verdict.details[: run.MAX_DETAILS]:
        print(detail)
    document = {"seed": options.seed, **result.summary}
    document |= {
        key: value
        for key, value in verdict._asdict().items()
        if key != "details"
    }
    print(json.dumps(document))
    return 0 if verdict.is_clean else 1


if __name__ == "__main__":
    sys.exit(main())
