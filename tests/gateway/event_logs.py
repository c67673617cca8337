"""Event logs whose output the tests do not read."""

import os

from savoryspar import log


def new_event_log(case):
    """Returns an event log on a pipe that is closed after the test."""
    reader, writer = os.pipe()
    case.addCleanup(os.close, reader)
    case.addCleanup(os.close, writer)
    return log.new_event_log(writer, "n")
