"""Histograms that scenarios record for the report."""

from collections.abc import Iterator
import json
import pathlib

from savoryspar.bench import tally

_kept: list[tuple[str, tally.Histogram]] = []


def keep(name: str, histogram: tally.Histogram) -> None:
    """Records a histogram of the running scenario for the report."""
    _kept.append((name, histogram))


def append_kept(path: pathlib.Path, scenario: str) -> None:
    """Appends the recorded histograms to a JSON lines file and clears them."""
    with path.open("a", encoding="utf-8") as file:
        for name, histogram in _kept:
            document = {
                "scenario": scenario,
                "name": name,
                "histogram": histogram.to_text(),
            }
            file.write(json.dumps(document) + "\n")
    _kept.clear()


def read(path: pathlib.Path) -> Iterator[tuple[str, str, tally.Histogram]]:
    """Yields (scenario, name, histogram) from a file, which may be absent."""
    if not path.exists():
        return
    for line in path.read_text("utf-8").splitlines():
        document = json.loads(line)
        yield (
            document["scenario"],
            document["name"],
            tally.decode_histogram(document["histogram"]),
        )
