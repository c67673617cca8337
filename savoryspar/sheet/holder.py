"""Keeps the sheet in force; the highest accepted revision wins."""

from collections.abc import Callable

from savoryspar import log
from savoryspar.sheet import exceptions, model

Listener = Callable[[model.Sheet], None]


class SheetHolder:
    """The sheet in force and what was refused.

    Attributes:
        current: The sheet in force, or None before the first one.
        conflict: The last conflict of two contents under one revision.
        refused: Faults of the last refused sheet, as texts.
        refused_revision: Its revision, 0 if none was refused.
    """

    __slots__ = (
        "_listeners",
        "_logger",
        "conflict",
        "current",
        "refused",
        "refused_revision",
    )

    def __init__(self) -> None:
        self.current: model.Sheet | None = None
        self.conflict: exceptions.RevisionConflictError | None = None
        self.refused: tuple[str, ...] = ()
        self.refused_revision = 0
        self._listeners: list[Listener] = []
        self._logger = log.new_logger("sheet")

    @property
    def revision(self) -> int:
        """Revision in force, 0 before the first one."""
        return self.current.revision if self.current else 0

    def get(self) -> model.Sheet | None:
        """Returns the sheet in force, or None before the first one."""
        return self.current

    def listen(self, listener: Listener) -> None:
        """Calls the listener with each sheet that comes into force."""
        self._listeners.append(listener)

    def offer(self, offered: model.Sheet, source: str, now: float) -> bool:
        """Puts the sheet in force if its revision is the highest so far.

        Args:
            offered: A validated sheet.
            source: Where it came from, for the log.
            now: Monotonic time in seconds.

        Returns:
            Whether the sheet is now in force.
        """
        del now
        if offered.revision < self.revision:
            return False
        if self.current and offered.revision == self.current.revision:
            self.check_digest(offered.revision, offered.digest)
            return False
        self.current = offered
        self._logger.notice(
            f"Sheet in force. revision={offered.revision}"
            f" digest={offered.digest[:12]} source={source}"
        )
        for listener in self._listeners:
            listener(offered)
        return True

    def check_digest(self, revision: int, digest: str) -> None:
        """Records a conflict if the revision in force has another digest.

        Args:
            revision: Revision that a peer or the service has.
            digest: Its content digest, or the start of it.
        """
        if not self.current or revision != self.current.revision:
            return
        if digest and not self.current.digest.startswith(digest):
            found = exceptions.RevisionConflictError(
                revision, self.current.digest, digest
            )
            if str(found) != str(self.conflict):
                self._logger.error(f"Sheet refused. {found}")
            self.conflict = found

    def refuse(self, revision: int, faults: ExceptionGroup) -> None:
        """Records why a sheet was refused."""
        self.refused_revision = revision
        self.refused = tuple(str(fault) for fault in faults.exceptions)
        self._logger.error(
            f"Sheet refused. revision={revision} faults={len(self.refused)}"
            f" first={self.refused[0]}"
        )


def new_sheet_holder() -> SheetHolder:
    """Returns a holder without a sheet."""
    return SheetHolder()
