"""Requests and responses of the gateway, and its errors."""

from collections.abc import Callable, Iterator, Sequence
import contextlib
from typing import Any

from savoryspar import backends, errors, fleet

NO_SERVER_AT_HOME = "no_server_at_home"
"""Reason of the refusals for lack of a server in the home regions."""
MIN_STALL_TIMEOUT_S = 2.0
STOPPING_RETRY_S = 0.3
HOME_RETRY_S = 1.0
"""Time after which a caller may retry whose home regions have no server. A
server that starts is listed within about a second."""
NO_HOME_RETRY_S = 5.0
"""Time after which a caller may retry that has no common home region. This
takes a new configuration, which is in force within 4 s."""
STALL_TIMEOUT_OBJECTIVES = 4.0
STALL_TIMEOUT_GAPS = 8.0
"""The callers' protocol defines the gap between events after which callers
abandon a stream: the longest of a minimum in seconds, a multiple of the route's
objective and a multiple of its gap objective."""


class Job:
    """A caller's request with its route and deadlines.

    Attributes:
        req: The request.
        route: Its route.
        pool: Name of the pool that serves it, one of the route's.
        workspace: Name of the caller's workspace, empty without one.
        rank: 0 is the most urgent; see ``Configuration.rank``.
        received_at: When the request arrived, in monotonic seconds.
        objective_at: When the objective is missed, in monotonic seconds.
        deadline_at: When the request expires, in monotonic seconds.
        abandon_at: When the caller abandons a stream that has not begun; the
            deadline for other requests.
        version: Version of the configuration that admitted the request.
        home_regions: Regions in which it may be served, None for all; see
            ``fleet.eligibility``. Later configurations do not change them.
        fingerprint: Digest that is equal for requests with the same work.
        sends: Number of sends after which the request may have run.
        is_sending: Whether a send has begun whose outcome is not known yet.
        answer_end: How the last answer of a server ended, empty without one.
        end_evidence: What shows whether that answer is complete, empty if its
            length or chunks do, or it has none.
        admitted_at: When the request had been read and its route was found, in
            monotonic seconds.
        is_shortened: Whether this process ends before its deadline, which was
            then moved, unless the request is a stream.
        check_stop: Called with the job and the monotonic time before each send;
            raises ``GatewayError`` if it may not be passed on because this
            process ends, else limits its deadline.
    """

    __slots__ = (
        "abandon_at",
        "admitted_at",
        "answer_end",
        "check_stop",
        "close_caller",
        "deadline_at",
        "end_evidence",
        "fingerprint",
        "home_regions",
        "is_sending",
        "is_shortened",
        "objective_at",
        "pool",
        "rank",
        "received_at",
        "req",
        "route",
        "sends",
        "version",
        "workspace",
    )

    def __init__(
        self,
        req: backends.CallerRequest,
        route: fleet.Route,
        pool: str,
        workspace: str,
        rank: int,
        received_at: float,
        objective_at: float,
        deadline_at: float,
        version: int,
        fingerprint: str,
        home_regions: frozenset[str] | None = None,
    ):
        self.req = req
        self.home_regions = home_regions
        self.route = route
        self.pool = pool
        self.workspace = workspace
        self.rank = rank
        self.received_at = received_at
        self.objective_at = objective_at
        self.deadline_at = deadline_at
        self.version = version
        self.fingerprint = fingerprint
        self.sends = 0
        self.is_sending = False
        self.answer_end = ""
        self.end_evidence = ""
        self.admitted_at = received_at
        self.is_shortened = False
        self.check_stop: Callable[[Job, float], None] = lambda job, now: None
        # Closes the connection of the caller.
        self.close_caller: Callable[[], None] = lambda: None
        self.abandon_at = deadline_at
        if route.kind is fleet.RouteKind.STREAM:
            self.abandon_at = min(
                deadline_at, received_at + stall_timeout_s(route)
            )

    def left_s(self, now: float) -> float:
        """Returns the time until the deadline, in seconds."""
        return self.deadline_at - now


def stall_timeout_s(route: fleet.Route) -> float:
    """Returns the time without events after which callers abandon a stream."""
    return max(
        MIN_STALL_TIMEOUT_S,
        STALL_TIMEOUT_OBJECTIVES * route.objective_s,
        STALL_TIMEOUT_GAPS * route.gap_objective_s,
    )


class Reply:
    """A complete response to the caller."""

    __slots__ = ("body", "fields", "status")

    def __init__(self, status: str, fields: list[tuple[str, str]], body: bytes):
        self.status = status
        self.fields = fields
        self.body = body


class GatewayError(errors.SavorysparError):
    """A request that the gateway answers with an error response.

    Attributes:
        status: Status code and reason phrase.
        retry_after_s: Time after which the caller may retry, or None.
        reason: Short name of the cause, for logs and metrics.
        is_closing: Whether the connection is closed after the response.
    """

    def __init__(
        self,
        status: str,
        reason: str,
        message: str,
        remedy: str,
        retry_after_s: float | None = None,
        is_closing: bool = False,
    ):
        super().__init__(message, remedy)
        self.status = status
        self.reason = reason
        self.retry_after_s = retry_after_s
        self.is_closing = is_closing


class Preview:
    """What would happen to a request now.

    Attributes:
        refusal: Error with which it would be refused, None if it would not.
        avoided: Servers that must not run it, because it may crash them.
        zones: Zones of the last pool with their costs; see ``placing``.
        stages: Where the stages would run; see ``stage_runner``.
        placement: Where the request would go; see ``placing``.
    """

    __slots__ = ("avoided", "placement", "refusal", "stages", "zones")

    def __init__(self) -> None:
        self.refusal: GatewayError | None = None
        self.avoided: frozenset[str] = frozenset()
        self.zones: Sequence[tuple[str, float, float | None]] = ()
        self.stages: Sequence[Any] = ()
        self.placement: Any = None

    @contextlib.contextmanager
    def recording_refusal(self) -> Iterator[None]:
        """Keeps the first refusal, and goes on after the block."""
        try:
            yield
        except GatewayError as exc:
            self.refusal = self.refusal or exc


class BrokenStreamError(errors.SavorysparError):
    """A response broke off after its head was sent to the caller."""


def refusal(
    reason: str, message: str, retry_after_s: float | None
) -> GatewayError:
    """Returns the 503 error for a request that has not run and will not run."""
    return GatewayError(
        "503 Service Unavailable",
        reason,
        message,
        "retry after the time in Retry-After",
        retry_after_s,
    )


def home_refusal(
    job: Job,
    pool: str,
    cause: str,
    retry_after_s: float = HOME_RETRY_S,
) -> GatewayError:
    """Returns the error for a request without a server in its home regions.

    Args:
        job: The request.
        pool: Pool that has no server there.
        cause: Why the pool has none.
        retry_after_s: Time after which the caller may retry.
    """
    if not job.home_regions:
        message = (
            f"the home regions of route {job.route.name!r}"
            f" ({_listed(job.route.home_regions)}) and of workspace"
            f" {job.workspace!r} have none in common"
        )
        return refusal(NO_SERVER_AT_HOME, message, NO_HOME_RETRY_S)
    return refusal(
        NO_SERVER_AT_HOME,
        f"no server of pool {pool!r} in the home regions of the request"
        f" ({_listed(job.home_regions)}): {cause}",
        retry_after_s,
    )


def _listed(home_regions: frozenset[str]) -> str:
    return ", ".join(sorted(home_regions))


def stopping_refusal(message: str) -> GatewayError:
    """Returns the error for a request that this process cannot finish."""
    return refusal("stopping", message, STOPPING_RETRY_S)


StartResponse = Callable[[str, list[tuple[str, str]]], Callable[[bytes], None]]
"""Sends the head of the response; returns a function that writes its body."""

Clock = Callable[[], float]
