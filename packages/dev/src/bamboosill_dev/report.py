"""Renders the output of the placement benchmark as an HTML page with charts.

Run `python -m bamboosill_dev.report IN OUT`, where IN holds the output of
`bamboosill_dev.bench`.
"""

import argparse
import base64
import html
import io
import json
import pathlib
from typing import Any

from matplotlib import pyplot

_CHARTS = (
    ("score", "weighted score (lower is better)"),
    ("imbalance_p99", "p99 over time of max/mean load per slot"),
    ("churn", "part of the keys that moved"),
    ("down_key_s", "key-seconds without service"),
)


def _read_results(path: pathlib.Path) -> dict[str, Any]:
    """Returns the JSON object in the last line of the benchmark output."""
    return json.loads(path.read_text().strip().splitlines()[-1])


def _draw_charts(runs: list[dict[str, Any]], deployment: str) -> str:
    """Returns a PNG image with all charts of a deployment, in base64."""
    deployment_runs = [
        item for item in runs if item["deployment"] == deployment
    ]
    scenarios = list(
        dict.fromkeys(item["scenario"] for item in deployment_runs)
    )
    policies = sorted({item["policy"] for item in deployment_runs})
    figure, axes = pyplot.subplots(len(_CHARTS), 1, figsize=(10, 14))
    bar_width = 0.8 / len(policies)
    for axis, (name, title) in zip(axes, _CHARTS, strict=True):
        for policy_index, policy in enumerate(policies):
            values = {
                item["scenario"]: item[name]
                for item in deployment_runs
                if item["policy"] == policy
            }
            positions = [
                index + policy_index * bar_width
                for index in range(len(scenarios))
            ]
            heights = [values.get(item, 0.0) for item in scenarios]
            axis.bar(positions, heights, bar_width, label=policy)
        axis.set_xticks(range(len(scenarios)), scenarios)
        axis.set_title(title)
    axes[0].legend()
    figure.tight_layout()
    buffer = io.BytesIO()
    figure.savefig(buffer, format="png", metadata={"Software": None})
    pyplot.close(figure)
    return base64.b64encode(buffer.getvalue()).decode()


def render(document: dict[str, Any]) -> str:
    """Returns an HTML page with the charts and the checked bounds."""
    runs = document["runs"]
    parts = [
        "<!doctype html><meta charset='utf-8'>"
        f"<title>bench</title><h1>Bench, seed {document['seed']}</h1>"
    ]
    for deployment in dict.fromkeys(item["deployment"] for item in runs):
        parts.append(f"<h2>{html.escape(deployment)}</h2>")
        image = _draw_charts(runs, deployment)
        parts.append(f"<img src='data:image/png;base64,{image}'>")
    rows = [
        f"<tr><td>{'holds' if item['holds'] else 'broken'}</td>"
        f"<td>{html.escape(item['at'])}</td>"
        f"<td>{html.escape(item['bound'])}</td>"
        f"<td>{html.escape(str(item['value']))}</td></tr>"
        for item in document["bounds"]
    ]
    parts.append(f"<h2>Bounds</h2><table>{''.join(rows)}</table>")
    return "\n".join(parts)


def main() -> None:
    """Reads the benchmark output and writes the page."""
    parser = argparse.ArgumentParser(prog="bamboosill_dev.report")
    parser.add_argument("source", type=pathlib.Path)
    parser.add_argument("page", type=pathlib.Path)
    flags = parser.parse_args()
    flags.page.write_text(render(_read_results(flags.source)))


if __name__ == "__main__":
    main()
