"""Prints the figures of all runs and checks the bounds of the design."""

from typing import Any

from bamboosill_dev.bench import places

_MAX_CHURN_RATIO = 1.2
_MAX_DOWN_S = 3.0
_MAX_REBALANCE_S = 60.0
_MAX_P99_RATIO = 1.1


def _find_run(results: list[dict[str, Any]], **wanted: str) -> dict | None:
    for candidate in results:
        if all(candidate[key] == value for key, value in wanted.items()):
            return candidate
    return None


def compute_p99_ratios(
    results: list[dict[str, Any]], run: dict[str, Any]
) -> dict[str, float]:
    """Returns the p99 latency relative to the steady run, by customer.

    Customers that the steady run does not have are left out.
    """
    steady = _find_run(
        results,
        deployment=run["deployment"],
        policy=run["policy"],
        scenario="steady",
    )
    if steady is None:
        return {}
    after = run["latency_s"]["customer"]
    return {
        name: round(after[name][1] / value[1], 3)
        for name, value in steady["latency_s"]["customer"].items()
        if name in after and value[1] > 0
    }


def check_bounds(results: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Returns the limits for runs of policy `bounded` and if each holds."""
    checks: list[dict[str, Any]] = []
    for run in results:
        if run["policy"] != "bounded":
            continue
        run_name = f"{run['deployment']}/{run['scenario']}"

        def add_check(
            bound: str, value: Any, holds: bool, label: str = run_name
        ) -> None:
            checks.append(
                {"at": label, "bound": bound, "value": value, "holds": holds}
            )

        _check_run(run, add_check)
        other_scores = [
            item["score"]
            for item in results
            if item["scenario"] == run["scenario"]
            and item["deployment"] == run["deployment"]
            and item is not run
        ]
        if other_scores:
            value = [run["score"], min(other_scores)]
            add_check("score below others", value, value[0] < value[1])
        if run["scenario"] == "newcomer":
            ratios = compute_p99_ratios(results, run)
            if ratios:
                worst = max(ratios.values())
                add_check("existing p99 <= 1.1", worst, worst <= _MAX_P99_RATIO)
            refusals_within_contract = dict(run["refusals"]["above_contract"])
            refusals_within_contract.pop("new", None)
            add_check(
                "no refusals above contract",
                refusals_within_contract,
                not refusals_within_contract,
            )
    return checks


def _check_run(run: dict[str, Any], add_check: Any) -> None:
    moved_and_least = [run["moved_keys"], run["least_keys"]]
    add_check(
        "churn <= 1.2 least",
        moved_and_least,
        moved_and_least[0] <= _MAX_CHURN_RATIO * moved_and_least[1],
    )
    for name, service in run["services"].items():
        rebalance_s = service["imbalance"]["back_s"]
        add_check(
            f"{name} balanced within 60 s",
            rebalance_s,
            rebalance_s is not None and rebalance_s <= _MAX_REBALANCE_S,
        )
        if run["scenario"] == "steady":
            p99 = service["imbalance"]["p99"]
            add_check(
                f"{name} imbalance <= 1.15", p99, p99 <= places.MAX_IMBALANCE
            )
        if run["scenario"] in ("lost", "frozen"):
            down_s = service["longest_down_s"]
            add_check(
                f"{name} served again within 3 s",
                down_s,
                down_s <= _MAX_DOWN_S,
            )


def print_runs(document: dict[str, Any]) -> None:
    """Prints the figures of each run, then the bounds."""
    for run in document["runs"]:
        print(
            f"{run['deployment']:8} {run['scenario']:9} {run['policy']:11}"
            f" score {run['score']:.3f} churn {run['churn']:.4f}"
            f" ({run['moved_keys']}/{run['least_keys']} keys)"
            f" down {run['down_key_s']:.0f} key s"
        )
        for name, service in run["services"].items():
            imbalance = service["imbalance"]
            print(
                f"    {name:10} imbalance p50 {imbalance['p50']:.3f} p99"
                f" {imbalance['p99']:.3f} back {imbalance['back_s']} s; moves"
                f" {service['moves']}; longest down"
                f" {service['longest_down_s']} s"
            )
        for group, figures in run["latency_s"].items():
            line = " ".join(
                f"{name} {value[0] * 1000:.1f}/{value[1] * 1000:.1f}"
                for name, value in figures.items()
            )
            print(f"    ms p50/p99 by {group}: {line}")
        print(f"    refusals: {run['refusals']}")
    for check in document["bounds"]:
        word = "holds" if check["holds"] else "BROKEN"
        print(f"{word:7} {check['at']}: {check['bound']}: {check['value']}")
