"""A caller's request, how it is sent on, and what an answer says of it."""

from collections.abc import Sequence

from savoryspar import errors


class BadRequestError(errors.SavorysparError):
    """A caller's request cannot be read."""


class PromptPart:
    """A part of a prompt that other requests may share.

    Attributes:
        identifier: The same for the same text.
        tokens: Its length.
    """

    __slots__ = ("identifier", "tokens")

    def __init__(self, identifier: str, tokens: int):
        self.identifier = identifier
        self.tokens = tokens


class CallerRequest:
    """One attempt of a caller.

    Attributes:
        attempt_id: Unique ID that the caller gave the attempt.
        method, target: As on the request line.
        host: Host name in lower case, without a port.
        fields: Header fields that are passed on.
        body: Whole body.
        deadline_s: How long the caller waits, None when it does not say.
        key: Key of the caller's workspace, empty without one.
        model: Model that is to answer.
        prompt_tokens: Length of the prompt.
        output_tokens: Most tokens that may come out.
        prompt_parts: Parts of the prompt in order; the last one is its own.
        pieces: Number of pieces of each stage.
        piece_key: What identifies the pieces' content.
        resume_after: Number of the last event that the caller has, or None.
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
        """The path without the query."""
        return self.target.partition("?")[0]


class BackendSend:
    """What one send to a backend server adds to the caller's request.

    Attributes:
        server: ID of the server that is meant.
        timeout_s: Time after which the server may stop its work.
        workspace: Name of the caller's workspace, empty without one.
        urgency: Priority at an engine, 0 is the most urgent; None elsewhere.
        inputs: Handles of the stage results that an engine is to fetch.
        resume_after: Number of the last event to leave out, or None.
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
    """What the head of a server's answer says.

    Attributes:
        attempt_id: Attempt that it belongs to, empty when not told.
        has_not_run: Whether the server states that it did not run the request.
        is_misdirected: Whether another server has the address by now.
        has_digest: Whether it carries the digest of a server's answer.
        is_encoded: Whether something on the way encoded the body.
        is_closing: Whether the connection ends with it.
        idle_timeout_s: How long the server keeps an idle connection, or None.
        load: Requests running and waiting at the server, -1 when not told.
        is_leaving: Whether the server says that it is leaving.
        pause_s: Time for which it wants no work, 0 when not told.
    """

    __slots__ = (
        "attempt_id",
        "has_digest",
        "has_not_run",
        "idle_timeout_s",
        "is_closing",
        "is_encoded",
        "is_leaving",
        "is_misdirected",
        "load",
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
