"""Requests of callers, their sends to backend servers, and answer heads."""

from collections.abc import Sequence

from savoryspar import errors


class BadRequestError(errors.SavorysparError):
    """A caller's request cannot be decoded."""


class PromptPart:
    """A part of a prompt that other requests may share.

    Attributes:
        identifier: Identifies the text; equal texts have the same one.
        tokens: Length in tokens.
    """

    __slots__ = ("identifier", "tokens")

    def __init__(self, identifier: str, tokens: int):
        self.identifier = identifier
        self.tokens = tokens


class CallerRequest:
    """One attempt of a caller to send a request.

    Attributes:
        attempt_id: Unique ID that the caller assigned to the attempt.
        method, target: Method and target of the request line.
        host: Host name in lower case, without a port.
        fields: Header fields to forward.
        body: Complete body.
        deadline_s: How long the caller waits, None if not stated.
        key: API key of the caller's workspace, empty without one.
        model: Name of the requested model.
        prompt_tokens: Length of the prompt.
        output_tokens: Maximum length of the output.
        prompt_parts: Parts of the prompt in order; the last one is not shared
            with other requests.
        pieces: Number of pieces of each stage.
        piece_key: Identifies the content of the pieces.
        resume_after: Number of the last event that the caller received, or
            None.
    """

    __slots__ = (
        "attempt_id",
        "body",
        "deadline_s",
        "fields",
        "host",
        "key",
        "method",
        "model",
        "output_tokens",
        "piece_key",
        "pieces",
        "prompt_parts",
        "prompt_tokens",
        "resume_after",
        "target",
    )

    def __init__(
        self,
        attempt_id: str,
        method: str,
        target: str,
        host: str,
        fields: Sequence[tuple[str, str]],
        body: bytes,
        deadline_s: float | None,
        key: str,
        model: str,
        prompt_tokens: int,
        output_tokens: int,
        prompt_parts: Sequence[PromptPart],
        pieces: Sequence[int],
        piece_key: str,
        resume_after: int | None,
    ):
        self.attempt_id = attempt_id
        self.method = method
        self.target = target
        self.host = host
        self.fields = fields
        self.body = body
        self.deadline_s = deadline_s
        self.key = key
        self.model = model
        self.prompt_tokens = prompt_tokens
        self.output_tokens = output_tokens
        self.prompt_parts = prompt_parts
        self.pieces = pieces
        self.piece_key = piece_key
        self.resume_after = resume_after

    @property
    def path(self) -> str:
        """Path of the target, without the query."""
        return self.target.partition("?")[0]


class BackendSend:
    """Fields that one send to a backend server adds to the request.

    Attributes:
        server: ID of the intended server; another server rejects the request.
        timeout_s: Time after which the server may abandon the request.
        workspace: Name of the caller's workspace, empty without one.
        urgency: Priority at an engine; 0 is the most urgent. None for other
            servers.
        inputs: Handles of the stage results that an engine has to fetch.
        resume_after: Number of the last event to skip, or None.
    """

    __slots__ = (
        "inputs",
        "resume_after",
        "server",
        "timeout_s",
        "urgency",
        "workspace",
    )

    def __init__(
        self,
        server: str,
        timeout_s: float,
        workspace: str,
        urgency: int | None,
        inputs: Sequence[str],
        resume_after: int | None,
    ):
        self.server = server
        self.timeout_s = timeout_s
        self.workspace = workspace
        self.urgency = urgency
        self.inputs = inputs
        self.resume_after = resume_after


class AnswerFacts:
    """Decoded head of a backend server's answer.

    Attributes:
        attempt_id: Attempt that the answer belongs to, empty if not stated.
        has_not_run: Whether the server states that it did not run the request.
        is_misdirected: Whether the address now belongs to another server.
        has_digest: Whether the answer carries the digest that servers add.
        is_encoded: Whether an intermediary encoded the body.
        is_closing: Whether the server closes the connection afterwards.
        idle_timeout_s: How long the server keeps an idle connection, or None.
        load: Requests running and waiting at the server, -1 if not stated.
        is_leaving: Whether the server reports that it is leaving.
        pause_s: Pause that the server requests, 0 without one.
        limit_per_s: Requests per second that the server accepts from all VMs
            together, None without a valid limit.
        invalid_limit: Text of a limit that cannot be used, shortened; empty
            if the limit is valid or absent.
        cold_left_s: Remaining time for which the server is cold, 0 if it is
            not or does not tell.
        pace: How long work takes at the server at this moment, as a factor of
            the usual time; None if not stated.
    """

    __slots__ = (
        "attempt_id",
        "cold_left_s",
        "has_digest",
        "has_not_run",
        "idle_timeout_s",
        "invalid_limit",
        "is_closing",
        "is_encoded",
        "is_leaving",
        "is_misdirected",
        "limit_per_s",
        "load",
        "pace",
        "pause_s",
    )

    def __init__(
        self,
        attempt_id: str,
        has_not_run: bool,
        is_misdirected: bool,
        has_digest: bool,
        is_encoded: bool,
        is_closing: bool,
        idle_timeout_s: float | None,
        load: int,
        is_leaving: bool = False,
        pause_s: float = 0.0,
        limit_per_s: float | None = None,
        invalid_limit: str = "",
        cold_left_s: float = 0.0,
        pace: float | None = None,
    ):
        self.attempt_id = attempt_id
        self.has_not_run = has_not_run
        self.is_misdirected = is_misdirected
        self.has_digest = has_digest
        self.is_encoded = is_encoded
        self.is_closing = is_closing
        self.idle_timeout_s = idle_timeout_s
        self.load = load
        self.is_leaving = is_leaving
        self.pause_s = pause_s
        self.limit_per_s = limit_per_s
        self.invalid_limit = invalid_limit
        self.cold_left_s = cold_left_s
        self.pace = pace
