"""Gathers the crashes that a VM observes at the same moment.

When servers crash, all streams on them break within milliseconds. A message for
each of them to each VM would delay the calls that requests wait for.
"""

from collections.abc import Callable, Iterable, Iterator, Sequence
import itertools

import eventlet
from eventlet import event

from savoryspar import blame, decoding, log

GATHER_S = 0.02
"""Time from the first report of a batch to its sending; part of the time after
which a broken stream is tried elsewhere."""


class Batch:
    """What one message tells.

    Attributes:
        reports: Requests that were on servers that crashed.
        sound: Parts that have run sound since a crash.
        has_suspects: Whether peers are asked about the parts.
        sent: Fires when peers have the batch or did not reply in time.
    """

    __slots__ = ("has_suspects", "reports", "sent", "sound")

    def __init__(self) -> None:
        self.reports: list[blame.CrashReport] = []
        self.sound: set[str] = set()
        self.has_suspects = False
        self.sent = event.Event()

    def chunks(self, size: int) -> Iterator[Sequence[blame.CrashReport]]:
        """Yields the reports, at most ``size`` at a time, at least once."""
        for start in range(0, max(1, len(self.reports)), size):
            yield [*itertools.islice(self.reports, start, start + size)]


class CrashBatches:
    """The batch that is being gathered; construct with its factory."""

    __slots__ = ("_batch", "_logger", "_send")

    def __init__(self, send: Callable[[Batch], None]):
        self._send = send
        self._logger = log.new_logger("entry")
        self._batch: Batch | None = None

    def add_report(self, report: blame.CrashReport) -> None:
        """Adds a report of a request that is no suspect."""
        self._current().reports.append(report)

    def add_suspect(self, report: blame.CrashReport) -> event.Event:
        """Adds a report, and returns what fires when peers have it."""
        batch = self._current()
        batch.reports.append(report)
        batch.has_suspects = True
        return batch.sent

    def add_sound(self, parts: Iterable[str]) -> None:
        """Adds parts that have run sound since a crash."""
        self._current().sound.update(parts)

    def _current(self) -> Batch:
        if self._batch is None:
            self._batch = Batch()
            eventlet.spawn_after(GATHER_S, self._close)
        return self._batch

    def _close(self) -> None:
        batch, self._batch = self._batch, None
        try:
            self._send(batch)
        except Exception as exc:
            # The streams of the batch are tried elsewhere all the same.
            self._logger.error(
                f"Crash reports not sent. count={len(batch.reports)}"
                f" {decoding.describe(exc)}"
            )
        finally:
            batch.sent.send(True)


def new_crash_batches(send: Callable[[Batch], None]) -> CrashBatches:
    """Returns batches of which none is gathered yet.

    Args:
        send: Sends a batch and waits for the replies of peers, if it has
            suspects; called in a green thread of its own.
    """
    return CrashBatches(send)
