"""Logbook setup: handlers, formats and the line prefix of each component."""

import json
import sys
from typing import TextIO

import logbook

PARTS = {
    "entry": "Start, drain and end of an entry process.",
    "http": "Callers' connections.",
    "scheduling": "Admission, refusals and slot shares.",
    "backends": "Load and availability that backend servers report.",
    "routing": "The backend server chosen for each stage call.",
    "pipelines": "Retries and resumed streams.",
    "membership": "Peers, links and suspected processes.",
    "sheet": "Sheets put into force or refused.",
    "platform": "The configuration service and the VM list.",
    "placement": "Models on engines and the orders sent for them.",
    "idempotency": "Tickets, forwarded orders and handover.",
    "standin": "Stand-ins for external systems.",
    "bench": "Benchmarks.",
}
"""What each component logs, by the prefix of its lines."""


def new_logger(part: str) -> logbook.Logger:
    """Returns the logger of a component; its lines start with ``[part]``.

    Raises:
        ValueError: The component is not in ``PARTS``.
    """
    if part not in PARTS:
        raise ValueError(f"unknown log part {part!r}; use one of {[*PARTS]}")
    return logbook.Logger(part)


def configure(level: str, format_name: str) -> None:
    """Configures logging to standard error.

    Args:
        level: Lowest level that is written, for example ``info``.
        format_name: ``plain`` or ``json``.
    """
    new_handler(sys.stderr, level, format_name).push_application()


def new_handler(
    stream: TextIO, level: str, format_name: str
) -> logbook.StreamHandler:
    """Returns a handler that writes log lines to a stream."""
    handler = logbook.StreamHandler(stream, level=level.upper())
    handler.formatter = _FORMATTERS[format_name]
    return handler


def _plain(record: logbook.LogRecord, handler: logbook.Handler) -> str:
    del handler
    time = record.time.isoformat(timespec="milliseconds")
    return f"{time} {record.level_name} [{record.channel}] {record.message}"


def _json(record: logbook.LogRecord, handler: logbook.Handler) -> str:
    del handler
    fields = {
        "time": record.time.isoformat(timespec="milliseconds"),
        "level": record.level_name.lower(),
        "part": record.channel,
        "message": record.message,
    }
    fields.update(record.extra)
    return json.dumps(fields)


_FORMATTERS = {"plain": _plain, "json": _json}
