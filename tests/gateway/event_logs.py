"""Event logs that tests write to and do not read."""

import os

from savoryspar import log


def new_event_log(case):
    """Returns a log on a pipe that is closed after the test case."""
    reader, writer = os.pipe()
    case.addCleanup(os.close, reader)
    case.addCleanup(os.close, writer)
    return log.new_event_log(writer, "n")
