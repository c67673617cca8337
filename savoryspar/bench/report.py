"""Writes the benchmark results as one HTML page with plots."""

import base64
from collections.abc import Iterable, Mapping, Sequence
import html
import io
import json
import pathlib
from typing import Any

from matplotlib import figure

from savoryspar.bench import histograms, tally

PERCENTILES = (50, 75, 90, 95, 99, 99.9)
HELD_COLOUR = "#2a7f62"
MISSED_COLOUR = "#c0392b"
BASELINE_COLOUR = "#9aa5b1"
SMALLEST_RATIO = 1e-3
"""Smallest ratio plotted; the logarithmic axis cannot show 0."""
RATIO_HINT = (
    "Left of the line is better for upper bounds, right of it for lower bounds."
)
STYLE = """
body { font-family: sans-serif; margin: 2em; max-width: 70em }
table { border-collapse: collapse } td, th { padding: .2em .6em }
td { border-top: 1px solid #ccc } .number { text-align: right }
.missed { color: #c0392b; font-weight: bold }
"""

Row = Mapping[str, Any]


def write_report(
    results_path: pathlib.Path,
    histograms_path: pathlib.Path,
    report_path: pathlib.Path,
) -> None:
    """Writes the report from the files that the scenarios wrote.

    Args:
        results_path: JSON lines of rows; the last row of a measure is shown.
        histograms_path: JSON lines of histograms; the file may be absent.
        report_path: HTML page to write.
    """
    rows = read_rows(results_path)
    parts = [
        f"<style>{STYLE}</style><title>savoryspar bench</title>",
        "<h1>savoryspar bench</h1>",
        _summary(rows),
        _table(rows),
        "<h2>Figure / target</h2>",
        f"<p>{RATIO_HINT}</p>",
        _image(_ratio_plot(rows)),
        "<h2>Times</h2>",
    ]
    parts += [
        f"<h3>{html.escape(scenario)}</h3>{_image(_percentile_plot(series))}"
        for scenario, series in _by_scenario(histograms_path).items()
    ]
    report_path.write_text(
        "<!doctype html><meta charset=utf-8>" + "\n".join(parts), "utf-8"
    )


def read_rows(path: pathlib.Path) -> list[Row]:
    """Returns the last row of each measure, in order of first appearance."""
    rows: dict[tuple[str, str], Row] = {}
    for line in path.read_text("utf-8").splitlines():
        row = json.loads(line)
        rows[row["scenario"], row["measure"]] = row
    return [*rows.values()]


def _summary(rows: Sequence[Row]) -> str:
    held = sum(row["held"] for row in rows)
    return f"<p>{held} of {len(rows)} targets held.</p>"


def _table(rows: Iterable[Row]) -> str:
    names = ("scenario", "measure", "target", "baseline", "ours", "unit")
    lines = [
        "<tr>"
        + "".join(f"<th>{name}</th>" for name in (*names, "held", "seed"))
    ]
    for row in rows:
        cells = "".join(f"<td>{_cell(row[name])}</td>" for name in names)
        held = "<td>yes" if row["held"] else "<td class=missed>no"
        lines.append(f"<tr>{cells}{held}</td><td>{row['seed']}</td>")
    return f"<table>{''.join(lines)}</table>"


def _cell(value: Any) -> str:
    if value is None:
        return "-"
    if isinstance(value, float):
        return f"{value:.4g}"
    return html.escape(str(value))


def _ratio_plot(rows: Sequence[Row]) -> figure.Figure:
    """Plots the result and the baseline, each divided by the target."""
    plotted = [row for row in rows if _bound(row)]
    plot = figure.Figure(figsize=(9, 1 + 0.34 * len(plotted)))
    axes = plot.add_subplot()
    for position, row in enumerate(reversed(plotted)):
        bound = _bound(row)
        colour = HELD_COLOUR if row["held"] else MISSED_COLOUR
        if row["baseline"] is not None:
            ratio = max(row["baseline"] / bound, SMALLEST_RATIO)
            axes.barh(position, ratio, 0.8, color=BASELINE_COLOUR)
        ratio = max(row["ours"] / bound, SMALLEST_RATIO)
        axes.barh(position, ratio, 0.4, color=colour)
    labels = [f"{r['measure'][:48]} {r['target']}" for r in reversed(plotted)]
    axes.set_yticks(range(len(plotted)), labels, fontsize=8)
    axes.axvline(1.0, color="black", linewidth=1)
    axes.set_xscale("log")
    axes.set_xlabel("figure / target (grey: baseline policy)")
    return plot


def _bound(row: Row) -> float:
    return float(row["target"].partition(" ")[2])


def _percentile_plot(
    series: Sequence[tuple[str, tally.Histogram]],
) -> figure.Figure:
    plot = figure.Figure(figsize=(7, 3.5))
    axes = plot.add_subplot()
    positions = range(len(PERCENTILES))
    for name, histogram in series:
        times_ms = [histogram.percentile(p) * 1e3 for p in PERCENTILES]
        axes.plot(positions, times_ms, marker="o", label=name)
    axes.set_xticks(positions, [f"p{p:g}" for p in PERCENTILES])
    axes.set_yscale("log")
    axes.set_ylabel("ms")
    axes.legend(fontsize=8)
    return plot


def _by_scenario(
    path: pathlib.Path,
) -> dict[str, list[tuple[str, tally.Histogram]]]:
    last = {(s, name): found for s, name, found in histograms.read(path)}
    grouped: dict[str, list[tuple[str, tally.Histogram]]] = {}
    for (scenario, name), histogram in last.items():
        grouped.setdefault(scenario, []).append((name, histogram))
    return grouped


def _image(plot: figure.Figure) -> str:
    buffer = io.BytesIO()
    plot.savefig(buffer, format="png", dpi=110, bbox_inches="tight")
    encoded = base64.b64encode(buffer.getvalue()).decode()
    return f'<img src="data:image/png;base64,{encoded}">'
