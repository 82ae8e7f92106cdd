"""Prints the figures, and compares them with the bounds of the design."""

from typing import Any

from bamboosill_dev.bench import places

_CHURN_RATIO = 1.2
_SERVED_AGAIN_S = 3.0
_BACK_S = 60.0
_P99_RATIO = 1.1


def _find(results: list[dict[str, Any]], **wanted: str) -> dict | None:
    for item in results:
        if all(item[key] == value for key, value in wanted.items()):
            return item
    return None


def compute_p99_ratios(
    results: list[dict[str, Any]], run: dict[str, Any]
) -> dict[str, float]:
    """Returns p99 of a run over the steady run, by existing customer."""
    steady = _find(
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
    """Returns each bound that applies to `bounded`, and whether it holds."""
    checks: list[dict[str, Any]] = []
    for run in results:
        if run["policy"] != "bounded":
            continue
        place = f"{run['deployment']}/{run['scenario']}"

        def add(bound: str, value: Any, holds: bool, at: str = place) -> None:
            checks.append(
                {"at": at, "bound": bound, "value": value, "holds": holds}
            )

        _check_run(run, add)
        others = [
            item["score"]
            for item in results
            if item["scenario"] == run["scenario"]
            and item["deployment"] == run["deployment"]
            and item is not run
        ]
        if others:
            value = [run["score"], min(others)]
            add("score below others", value, value[0] < value[1])
        if run["scenario"] == "newcomer":
            ratios = compute_p99_ratios(results, run)
            if ratios:
                worst = max(ratios.values())
                add("existing p99 <= 1.1", worst, worst <= _P99_RATIO)
            wrong = dict(run["refusals"]["above_contract"])
            wrong.pop("new", None)
            add("no refusals above contract", wrong, not wrong)
    return checks


def _check_run(run: dict[str, Any], add: Any) -> None:
    value = [run["moved_keys"], run["least_keys"]]
    add("churn <= 1.2 least", value, value[0] <= _CHURN_RATIO * value[1])
    for name, service in run["services"].items():
        back = service["imbalance"]["back_s"]
        add(
            f"{name} balanced within 60 s",
            back,
            back is not None and back <= _BACK_S,
        )
        if run["scenario"] == "steady":
            p99 = service["imbalance"]["p99"]
            add(f"{name} imbalance <= 1.15", p99, p99 <= places.BOUND)
        if run["scenario"] in ("lost", "frozen"):
            down_s = service["longest_down_s"]
            add(
                f"{name} served again within 3 s",
                down_s,
                down_s <= _SERVED_AGAIN_S,
            )


def print_runs(document: dict[str, Any]) -> None:
    """Prints a table of runs, then the bounds."""
    for run in document["runs"]:
        print(
            f"{run['deployment']:8} {run['scenario']:9} {run['policy']:11}"
            f" score {run['score']:.3f} churn {run['churn']:.4f}"
            f" ({run['moved_keys']}/{run['least_keys']} keys)"
            f" down {run['down_key_s']:.0f} key s"
        )
        for name, service in run["services"].items():
            level = service["imbalance"]
            print(
                f"    {name:10} imbalance p50 {level['p50']:.3f} p99"
                f" {level['p99']:.3f} back {level['back_s']} s; moves"
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
