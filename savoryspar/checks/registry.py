"""Registry of the checks, by stable ID."""

from collections.abc import Callable, Iterable, Iterator
import enum

from savoryspar import conf

CheckFunction = Callable[[conf.Settings], Iterable["CheckMessage"]]


class Level(enum.Enum):
    """Severity of a fault; an error prevents the process from starting."""

    ERROR = "error"
    WARNING = "warning"


class CheckMessage:
    """One fault found by a check.

    Attributes:
        check_id: Stable ID, for example ``entry.E001``.
        message: What is wrong, with the offending value.
        hint: How to fix it.
        level: Severity.
    """

    __slots__ = ("check_id", "hint", "level", "message")

    def __init__(self, check_id: str, message: str, hint: str, level: Level):
        self.check_id = check_id
        self.message = message
        self.hint = hint
        self.level = level

    def __str__(self) -> str:
        return f"{self.check_id}: {self.message}; {self.hint}"


class Check:
    """A registered check.

    Attributes:
        check_id: Stable ID of its messages.
        description: First line of the function's docstring.
        function: Yields a message for each fault in the settings.
    """

    __slots__ = ("check_id", "description", "function")

    def __init__(
        self, check_id: str, description: str, function: CheckFunction
    ):
        self.check_id = check_id
        self.description = description
        self.function = function


_CHECKS: dict[str, Check] = {}


def register(check_id: str) -> Callable[[CheckFunction], CheckFunction]:
    """Returns a decorator that registers a function as a check.

    Raises:
        ValueError: When decorating, if the ID is already registered.
    """

    def decorate(function: CheckFunction) -> CheckFunction:
        if check_id in _CHECKS:
            raise ValueError(f"check {check_id} already exists; use a new ID")
        description = (function.__doc__ or "").partition("\n")[0]
        _CHECKS[check_id] = Check(check_id, description, function)
        return function

    return decorate


def error(check_id: str, message: str, hint: str) -> CheckMessage:
    """Returns a message that prevents the process from starting."""
    return CheckMessage(check_id, message, hint, Level.ERROR)


def warning(check_id: str, message: str, hint: str) -> CheckMessage:
    """Returns a message that is printed without preventing the start."""
    return CheckMessage(check_id, message, hint, Level.WARNING)


def all_checks() -> list[Check]:
    """Returns all checks, sorted by ID."""
    return [check for _, check in sorted(_CHECKS.items())]


def run_checks(cfg: conf.Settings) -> list[CheckMessage]:
    """Runs all checks and returns their messages."""

    def messages() -> Iterator[CheckMessage]:
        for check in all_checks():
            yield from check.function(cfg)

    return [*messages()]
