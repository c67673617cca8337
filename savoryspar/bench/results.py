"""Result rows of scenarios, written as JSON lines and as a table."""

from collections.abc import Iterable
import json
import pathlib


class Row:
    """One measure of one scenario.

    Attributes:
        scenario: Name of the scenario.
        measure: What was measured.
        unit: Unit of the values.
        target: Target as a text, for example ``<= 3``.
        baseline: Value measured with the baseline policy, or None.
        ours: Value measured with this project's policy.
        held: Whether ``ours`` meets the target.
        seed: Seed of the run.
    """

    __slots__ = (
        "baseline",
        "held",
        "measure",
        "ours",
        "scenario",
        "seed",
        "target",
        "unit",
    )

    def __init__(
        self,
        scenario: str,
        measure: str,
        unit: str,
        target: str,
        baseline: float | None,
        ours: float,
        held: bool,
        seed: int,
    ):
        self.scenario = scenario
        self.measure = measure
        self.unit = unit
        self.target = target
        self.baseline = baseline
        self.ours = ours
        self.held = held
        self.seed = seed

    def to_json(self) -> str:
        """Returns the row as one JSON object."""
        return json.dumps({name: getattr(self, name) for name in FIELDS})


FIELDS = (
    "scenario",
    "measure",
    "unit",
    "target",
    "baseline",
    "ours",
    "held",
    "seed",
)


def new_row(
    scenario: str,
    measure: str,
    unit: str,
    target: str,
    ours: float,
    seed: int,
    baseline: float | None = None,
) -> Row:
    """Returns a row and compares the result with the target.

    Args:
        scenario: Name of the scenario.
        measure: What was measured.
        unit: Unit of the values.
        target: ``<= X``, ``>= X`` or ``== X``.
        ours: Value measured with this project's policy.
        seed: Seed of the run.
        baseline: Value measured with the baseline policy.
    """
    operator, _, bound = target.partition(" ")
    limit = float(bound)
    held = {"<=": ours <= limit, ">=": ours >= limit, "==": ours == limit}
    return Row(
        scenario, measure, unit, target, baseline, ours, held[operator], seed
    )


def append_rows(path: pathlib.Path, rows: Iterable[Row]) -> None:
    """Appends the rows to a file of JSON lines."""
    with path.open("a", encoding="utf-8") as file:
        file.writelines(row.to_json() + "\n" for row in rows)


def table_lines(rows: Iterable[Row]) -> list[str]:
    """Returns the rows as the lines of a text table with a header."""
    header = (
        f"{'scenario':16} {'measure':46} {'target':>9} {'baseline':>10}"
        f" {'ours':>10} {'unit':8} held"
    )
    return [header] + [
        f"{row.scenario:16} {row.measure[:46]:46} {row.target:>9}"
        f" {_format(row.baseline):>10} {_format(row.ours):>10} {row.unit:8}"
        f" {'yes' if row.held else 'NO'}"
        for row in rows
    ]


def _format(value: float | None) -> str:
    return "-" if value is None else f"{value:.4g}"
