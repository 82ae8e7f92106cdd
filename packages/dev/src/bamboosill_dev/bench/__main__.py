"""Runs the placement benchmark: `python -m bamboosill_dev.bench --seed N`."""

import argparse
import concurrent.futures
import json
from typing import Any

from bamboosill_dev.bench import deployments
from bamboosill_dev.bench import runs
from bamboosill_dev.bench import scenarios
from bamboosill_dev.bench import text
import bamboosilld.placement.policy as policy


def _parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="bamboosill_dev.bench")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--scenario", action="append", choices=sorted(scenarios.SCENARIOS)
    )
    parser.add_argument(
        "--policy", action="append", choices=policy.list_policies()
    )
    parser.add_argument(
        "--deployment",
        action="append",
        choices=sorted(deployments.DEPLOYMENTS),
    )
    parser.add_argument(
        "--placement-only",
        action="store_true",
        help="measure placement only and run no requests; quick, no latencies",
    )
    parser.add_argument("--processes", type=int, default=6)
    return parser.parse_args()


def _list_default_scenarios() -> list[str]:
    return [
        name
        for name in scenarios.SCENARIOS
        if name not in scenarios.OPTIONAL_SCENARIOS
    ]


def main() -> None:
    """Runs the selected jobs and prints their figures and one JSON line."""
    flags = _parse_arguments()
    jobs = [
        runs.Job(deployment, scenario, name, flags.seed, flags.placement_only)
        for scenario in flags.scenario or _list_default_scenarios()
        for deployment in flags.deployment or deployments.DEPLOYMENTS
        for name in flags.policy or policy.list_policies()
    ]
    with concurrent.futures.ProcessPoolExecutor(flags.processes) as pool:
        results: list[dict[str, Any]] = list(pool.map(runs.run, jobs))
    document = {"seed": flags.seed, "runs": results}
    document["bounds"] = text.check_bounds(results)
    text.print_runs(document)
    print(json.dumps(document, sort_keys=True))


if __name__ == "__main__":
    main()
