"""Requests, reports of crashes, and verdicts."""

from collections.abc import Iterable
import enum
import hashlib

MAX_PARTS = 16
"""Shared parts of a prompt to which a crash may be charged."""
MAX_PART_CHARS = 64
"""Longer identifiers of parts are replaced by a digest."""


class Verdict(enum.Enum):
    """What is known of a request.

    A ``SUSPECT`` may run alone only, as a trial; a ``BLOCKED`` one must not
    run.
    """

    CLEAR = "clear"
    SUSPECT = "suspect"
    BLOCKED = "blocked"


class Work:
    """What a request shares with others, as far as it may crash servers.

    Attributes:
        fingerprint: Digest that is equal for requests with the same work.
        workspace: Name of the workspace, empty for none.
        parts: Keys of the parts of the prompt that other requests may share.
            The same part in another pool or for another model has another key.
    """

    __slots__ = ("fingerprint", "parts", "workspace")

    def __init__(self, fingerprint: str, workspace: str, parts: frozenset[str]):
        self.fingerprint = fingerprint
        self.workspace = workspace
        self.parts = parts


class CrashReport:
    """A request that was at a server when its connection broke.

    Attributes:
        report_id: Unique ID.
        server: Name of the server.
        version: Versions of its software and models.
        work: The request. For a trial, only the parts in question.
        at: When the connection broke; monotonic seconds of this process.
        is_trial: Whether the request ran alone as a suspect.
        source: Incarnation of the VM that ran the request.
        used_at: When the report last decided on a request.
    """

    __slots__ = (
        "at",
        "is_trial",
        "report_id",
        "server",
        "source",
        "used_at",
        "version",
        "work",
    )

    def __init__(
        self,
        report_id: str,
        server: str,
        version: str,
        work: Work,
        at: float,
        is_trial: bool,
        source: str,
    ):
        self.report_id = report_id
        self.server = server
        self.version = version
        self.work = work
        self.at = at
        self.is_trial = is_trial
        self.source = source
        self.used_at = at


class Finding:
    """The verdict on a request, with the crashes behind it.

    Attributes:
        verdict: The verdict.
        parts: Parts that are blamed, empty if it is the whole request. For a
            suspect, all parts that a crash would leave in question.
        reports: Crashes that it is based on.
    """

    __slots__ = ("parts", "reports", "verdict")

    def __init__(
        self,
        verdict: Verdict,
        parts: frozenset[str] = frozenset(),
        reports: Iterable[CrashReport] = (),
    ):
        self.verdict = verdict
        self.parts = parts
        self.reports = tuple(reports)


def new_work(
    fingerprint: str,
    workspace: str,
    pool: str,
    model: str,
    parts: Iterable[str] = (),
) -> Work:
    """Returns the work of a request.

    Args:
        fingerprint: Digest that is equal for requests with the same work.
        workspace: Name of the workspace, empty for none.
        pool: Pool that runs the request.
        model: Model that it names, empty for none.
        parts: Identifiers of the parts of its prompt, without the last one,
            which belongs to the request itself or its session.
    """
    return Work(
        fingerprint,
        workspace,
        frozenset(
            f"{pool}/{model}/{_shortened(part)}"
            for part in [*parts][:MAX_PARTS]
        ),
    )


def _shortened(part: str) -> str:
    if len(part) <= MAX_PART_CHARS:
        return part
    return hashlib.blake2b(part.encode(), digest_size=16).hexdigest()
