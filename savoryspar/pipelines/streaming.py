"""Answer streams that are resumed on another engine after a failure."""

import json
import socket
from typing import TYPE_CHECKING

from savoryspar import backends, routing, sheet
from savoryspar.pipelines import bodies, exceptions, model

if TYPE_CHECKING:
    from savoryspar.pipelines import runner as runner_lib

DONE = b"[DONE]"
CHARGE_INTERVAL_BYTES = 4096
"""Relayed bytes between two charges; a charge for each token is too slow."""
DONE_CHUNK = b"e\r\ndata: [DONE]\n\n\r\n"


class AnswerStream:
    """The stream of one generation stage.

    Attributes:
        tokens: Number of tokens relayed.
    """

    __slots__ = (
        "_attempts",
        "_charged_events",
        "_choice",
        "_grant",
        "_is_ended",
        "_next_charge_at",
        "_relayed",
        "_req",
        "_runner",
        "_stage",
        "_stream",
        "tokens",
    )

    def __init__(
        self,
        runner: "runner_lib.Runner",
        req: model.Request,
        stage: sheet.Stage,
    ):
        self._runner = runner
        self._req = req
        self._stage = stage
        self._attempts = runner.new_attempts(req, stage)
        self._relayed = bytearray()
        self._choice: routing.Choice | None = None
        self._stream: backends.EngineStream | None = None
        self._is_ended = False
        self.tokens = 0
        self._charged_events = 0
        self._next_charge_at = CHARGE_INTERVAL_BYTES
        cost = bodies.stage_cost(req, runner.sheet().pools[stage.pool])
        self._grant = runner.acquire_slot(req, stage, cost)
        try:
            self._open()
        except BaseException:
            self.close()
            raise
        self._grant.charge(bodies.estimated_prompt_tokens(req), runner.clock())

    def read(self) -> bytes:
        """Returns the next events as raw HTTP chunks; empty at the end.

        Raises:
            RunError: The stream broke and could not be resumed.
        """
        while not self._is_ended:
            try:
                data = self._stream.read()
            except backends.StreamBrokenError as exc:
                data = self._resume(exc)
                if data is None:
                    continue
            if self._choice.answer_started_at is None:
                self._choice.answer_started_at = self._runner.clock()
            if data:
                self._record_relayed(data)
                return data
            self._end_attempt(routing.Outcome.OK)
        return b""

    def relay(self, sink: socket.socket) -> None:
        """Relays all further events to the caller's socket.

        Raises:
            RunError: The stream broke and could not be resumed.
            OSError: The caller's connection broke.
        """
        while self._stream is not None:
            try:
                self._stream.relay(sink, self._record_relayed)
                self._end_attempt(routing.Outcome.OK)
            except backends.StreamBrokenError as exc:
                sink.sendall(self._resume(exc) or b"")

    def read_text(self) -> str:
        """Reads the whole stream and returns its text."""
        while self.read():
            pass
        text, self.tokens = relayed_text(self._relayed)
        return text

    def close(self) -> None:
        """Cancels the generation if it is running, and releases the slot."""
        if self._stream is not None:
            self._stream.close()
        if not self._is_ended:
            self._end_attempt(routing.Outcome.CANCELLED)

    def _record_relayed(self, data: bytes) -> None:
        # Called for each token, so it compares byte counts and does not parse
        # events.
        relayed = self._relayed
        relayed += data
        if len(relayed) >= self._next_charge_at:
            self._charge()

    def _open(self) -> None:
        text, self.tokens = relayed_text(self._relayed)
        body = bodies.engine_body(self._req, self._stage, self.tokens, text)
        if self._grant.is_floor_grant:
            # Otherwise the engine would queue the call behind urgent work,
            # which would defeat the floor.
            body["priority"] = bodies.HIGHEST_PRIORITY
        while self._stream is None:
            choice = self._attempts.choose()
            try:
                stream = self._runner.start_stream(self._req, choice, body)
            except backends.BackendError as exc:
                self._attempts.prepare_retry(choice, exc)
            else:
                self._choice, self._stream = choice, stream
                self._charged_events = 0

    def _resume(self, exc: backends.StreamBrokenError) -> bytes | None:
        """Resumes the stream on another engine.

        Returns:
            The final event if only that was missing, else None.

        Raises:
            RunError: The stream could not be resumed.
        """
        self._charge()
        choice, self._stream = self._choice, None
        self._runner.observe(choice, self._runner.outcome_of(exc), -1)
        if is_finished(self._relayed):
            # Another engine would repeat the event with the finish reason.
            self._release_slot(is_complete=True)
            return DONE_CHUNK
        try:
            if self._relayed:
                self._attempts.prepare_resume(choice, exc)
            else:
                self._attempts.prepare_retry(choice, exc)
            self._open()
        except exceptions.RunError as error:
            self._release_slot(is_complete=False)
            if self._relayed:
                error.run_state = exceptions.RunState.PARTIAL
            raise
        return None

    def _end_attempt(self, outcome: routing.Outcome) -> None:
        if self._stream is not None:
            self._charge()
            self._stream = None
            self._runner.observe(self._choice, outcome, -1)
            if outcome is routing.Outcome.OK:
                self._runner.clear_suspect(self._req, self._choice)
        self._release_slot(is_complete=outcome is routing.Outcome.OK)

    def _release_slot(self, is_complete: bool) -> None:
        if not self._is_ended:
            self._is_ended = True
            self._grant.release(self._runner.clock(), is_complete)

    def _charge(self) -> None:
        events = self._stream.events
        self._grant.charge(
            float(events - self._charged_events), self._runner.clock()
        )
        self._charged_events = events
        self._next_charge_at = len(self._relayed) + CHARGE_INTERVAL_BYTES


def relayed_text(relayed: bytes | bytearray) -> tuple[str, int]:
    """Returns the text and the number of tokens in relayed raw chunks."""
    tokens = [
        choice["delta"].get("content", "")
        for choice in _choices(relayed)
        if choice["delta"].get("content")
    ]
    return "".join(tokens), len(tokens)


def is_finished(relayed: bytes | bytearray) -> bool:
    """Returns whether an event with a finish reason was relayed."""
    return any(
        choice.get("finish_reason") is not None for choice in _choices(relayed)
    )


def _choices(relayed: bytes | bytearray) -> list[dict]:
    return [
        choice
        for event in event_payloads(bytes(relayed))
        if event != DONE
        for choice in json.loads(event).get("choices", ())
    ]


def event_payloads(raw: bytes) -> list[bytes]:
    """Returns the data of each event in raw HTTP chunks."""
    return [
        line.removeprefix(b"data: ")
        for line in raw.split(b"\n")
        if line.startswith(b"data: ")
    ]
