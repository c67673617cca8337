"""Holds the sheet in force, which is the highest accepted revision."""

from collections.abc import Callable

from savoryspar import log
from savoryspar.sheet import exceptions, model

Listener = Callable[[model.Sheet], None]


class SheetHolder:
    """The sheet in force and the last conflict and refusal.

    Attributes:
        current: The sheet in force, or None before the first one.
        conflict: The last conflict of two contents under one revision, or None.
        refused: Error messages of the last refused sheet.
        refused_revision: Revision of that sheet, 0 if none was refused.
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
        """Registers a function that is called with each sheet put in force."""
        self._listeners.append(listener)

    def offer(self, offered: model.Sheet, source: str, now: float) -> bool:
        """Puts the sheet in force if its revision exceeds the current one.

        Args:
            offered: A validated sheet.
            source: Origin of the sheet, for the log.
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
        """Records a conflict if the sheet in force has another digest.

        Args:
            revision: Revision of a peer or of the configuration service.
            digest: Content digest of that revision, or a prefix of it.
        """
        if not self.current or revision != self.current.revision:
            return
        if digest and not self.current.digest.startswith(digest):
            conflict = exceptions.RevisionConflictError(
                revision, self.current.digest, digest
            )
            if str(conflict) != str(self.conflict):
                self._logger.error(f"Sheet refused. {conflict}")
            self.conflict = conflict

    def refuse(self, revision: int, errors: ExceptionGroup) -> None:
        """Records and logs the errors of a refused sheet.

        Args:
            revision: Revision of the sheet.
            errors: One ``SheetError`` per error.
        """
        self.refused_revision = revision
        self.refused = tuple(str(exc) for exc in errors.exceptions)
        self._logger.error(
            f"Sheet refused. revision={revision} faults={len(self.refused)}"
            f" first={self.refused[0]}"
        )


def new_sheet_holder() -> SheetHolder:
    """Returns a holder without a sheet."""
    return SheetHolder()
