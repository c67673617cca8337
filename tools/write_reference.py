"""Generates docs/ref from the code: ``python -m tools.write_reference``."""

from collections.abc import Callable, Iterable, Mapping
import os
import pathlib

os.environ.setdefault("EVENTLET_NO_GREENDNS", "yes")

from savoryspar import checks, conf, gateway, log, metrics
from savoryspar.cli import application
from savoryspar.conf import loader
from savoryspar.http import app, operators, problems

ROOT = pathlib.Path(__file__).resolve().parents[1]
REFERENCE = ROOT / "docs" / "ref"


def settings_page() -> str:
    """Returns the page of all settings."""
    rows = [
        (
            f"`[{item.section}] {item.key}`",
            "required" if item.default is None else f"`{item.default}`",
            f"`{loader.environment_name(item)}`",
            item.description,
        )
        for item in conf.SETTINGS
    ]
    return _page(
        "Settings",
        "Settings are read from the INI file that `--config` names. Environment"
        " variables override the file.",
        ("setting", "default", "environment", "meaning"),
        rows,
    )


def commands_page() -> str:
    """Returns the page of all commands and exit codes."""
    rows = [
        (f"`savoryspar {command.name}`", command.description, f"`{example}`")
        for command in map(application.new_command, application.COMMANDS)
        for example in [command.help.removeprefix("Example: ")]
    ]
    page = _page(
        "Commands",
        "Every command prints its options with `--help`.",
        ("command", "what it does", "example"),
        rows,
    )
    return page + (
        "\nExit codes: 0 success, 1 a check found faults or the task failed,"
        " 2 the command line or a file that it names cannot be used.\n"
    )


def endpoints_page() -> str:
    """Returns the page of all endpoints."""
    rows = [
        (f"`{method} {path}`", "callers", _first_line(handler))
        for (method, path), handler in app.endpoints().items()
    ]
    rows += [
        (f"`{method} {path}`", "operators", text)
        for (method, path), text in operators.ENDPOINTS.items()
    ]
    return _page(
        "Endpoints",
        "Callers' endpoints are served on `[entry] listen_port`, operators'"
        " endpoints on `[entry] operator_port`.",
        ("endpoint", "for", "what it does"),
        rows,
    )


def problems_page() -> str:
    """Returns the page of all problem types."""
    rows = [
        (f"`{problems.TYPE_PREFIX}{kind}`", title)
        for kind, title in sorted(problems.TITLES.items())
    ]
    return _page(
        "Problem types",
        "Errors are RFC 9457 problem documents. `detail` contains the remedy;"
        " `run_state` is `not_run`, `unknown`, `partial` or `complete`.",
        ("type", "title"),
        rows,
    )


def log_page() -> str:
    """Returns the page of all prefixes of log lines."""
    rows = [(f"`[{part}]`", text) for part, text in log.PARTS.items()]
    return _page(
        "Log lines",
        "A decision line contains request, stage, rank, workspace, candidates,"
        " choice and reason. `[log] decision_sample_percent` sets the share of"
        " requests whose decisions are logged.",
        ("prefix", "what is logged"),
        rows,
    )


def events_page() -> str:
    """Returns the page of all events logged to standard output."""
    rows = [(f"`{name}`", text) for name, text in sorted(log.EVENTS.items())]
    return _page(
        "Events",
        "`savoryspar serve` writes one JSON object per line to standard output:"
        " `at` (monotonic seconds), `node`, `event`, `request` if it concerns"
        " a request, `left_out` (lines dropped so far), and the inputs of the"
        " decision. `savoryspar explain ID` reads them.",
        ("event", "what"),
        rows,
    )


def metrics_page() -> str:
    """Returns the page of all metrics."""
    rows = [
        (f"`{name}`", text)
        for name, text in sorted(
            {
                **metrics.new_metrics().descriptions(),
                **gateway.descriptions(),
            }.items()
        )
    ]
    return _page(
        "Metrics",
        "`GET /metrics`, Prometheus format.",
        ("name", "what"),
        rows,
    )


def checks_page() -> str:
    """Returns the page of all check IDs."""
    rows = [(f"`{c.check_id}`", c.description) for c in checks.all_checks()]
    rows += [(f"`{check_id}`", text) for check_id, text in FILE_CHECKS.items()]
    return _page(
        "Checks",
        "`savoryspar check` and `savoryspar sheet check` print every fault"
        " with its ID. Faults whose ID contains E prevent the process from"
        " starting or the sheet from coming into force; W marks warnings.",
        ("ID", "what is checked"),
        sorted(rows),
    )


FILE_CHECKS: Mapping[str, str] = {
    "conf.E001": "The settings file can be read.",
    "conf.E002": "Every setting in the file exists.",
    "conf.E003": "Every required setting is given.",
    "conf.E004": "Every setting has a value of its type.",
    "sheet.E001": "The CSV file has the four columns.",
    "sheet.E002": "Every row fills the four columns.",
    "sheet.E003": "No field is given twice.",
    "sheet.E004": "Every table exists.",
    "sheet.E005": "Every field exists in its table.",
    "sheet.E006": "Every required field is given.",
    "sheet.E007": "Every field has a value of its type.",
    "sheet.E008": "Every rank exists.",
    "sheet.E009": "The floors add up to 100% or less.",
    "sheet.E010": "Every pool and type of work that is referenced exists.",
    "sheet.E011": "A stage names a model exactly when its pool has engines.",
    "sheet.E012": "No two workspaces share a key.",
    "sheet.E013": "Published keys can be decoded.",
    "sheet.E014": "The rows have the digest that the manifest names.",
}

PAGES: Mapping[str, Callable[[], str]] = {
    "settings.md": settings_page,
    "commands.md": commands_page,
    "endpoints.md": endpoints_page,
    "problems.md": problems_page,
    "log.md": log_page,
    "events.md": events_page,
    "metrics.md": metrics_page,
    "checks.md": checks_page,
}


def _first_line(handler: Callable) -> str:
    return (handler.__doc__ or "").partition("\n")[0]


def _page(
    title: str,
    text: str,
    header: tuple[str, ...],
    rows: Iterable[tuple[str, ...]],
) -> str:
    lines = [
        f"# {title}",
        "",
        text,
        "",
        "| " + " | ".join(header) + " |",
        "|" + "---|" * len(header),
        *("| " + " | ".join(row) + " |" for row in rows),
        "",
        "Generated from the code by `make reference`.",
        "",
    ]
    return "\n".join(lines)


def main() -> None:
    """Writes all pages."""
    for name, page in PAGES.items():
        (REFERENCE / name).write_text(page(), "utf-8")


if __name__ == "__main__":
    main()
