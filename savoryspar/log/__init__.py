"""Log setup, decision lines and structured event lines."""

from savoryspar.log.catalog import EVENTS
from savoryspar.log.decisions import Decision, DecisionLog, new_decision_log
from savoryspar.log.events import (
    EventLog,
    new_event_log,
    read_lines,
    redirect_logs,
)
from savoryspar.log.setup import PARTS, configure, new_handler, new_logger
