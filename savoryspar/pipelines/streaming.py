"""An answer that is streamed, resumed on another engine when one fails."""

import json
import socket
from typing import TYPE_CHECKING

from savoryspar import backends, routing, sheet
from savoryspar.pipelines import bodies, exceptions, model

if TYPE_CHECKING:
    from savoryspar.pipelines import runner as runner_lib

DONE = b"[DONE]"
CHARGE_BYTES = 4096
"""Bytes between two corrections of the account, which cost time each."""
DONE_CHUNK = b"e\r\ndata: [DONE]\n\n\r\n"


class AnswerStream:
    """The stream of one generation stage.

    Attributes:
        tokens: Tokens relayed so far.
    """

    __slots__ = (
        "_charge_at",
        "_charged",
        "_choice",
        "_grant",
        "_is_ended",
        "_relayed",
        "_req",
        "_runner",
        "_stage",
        "_stream",
        "_tries",
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
        self._tries = runner.new_attempts(req, stage)
        self._relayed = bytearray()
        self._choice: routing.Choice | None = None
        self._stream: backends.EngineStream | None = None
        self._is_ended = False
        self.tokens = 0
        self._charged = 0
        self._charge_at = CHARGE_BYTES
        cost = bodies.stage_cost(req, runner.sheet().pools[stage.pool])
        self._grant = runner.admit(req, stage, cost)
        try:
            self._open()
        except BaseException:
            self.close()
            raise
        self._grant.charge(bodies.prompt_units(req), runner.clock())

    def read(self) -> bytes:
        """Returns the next events as raw HTTP chunks; empty after the last.

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
                self._take(data)
                return data
            self._end(routing.Outcome.OK)
        return b""

    def relay(self, sink: socket.socket) -> None:
        """Passes all further events to the caller's socket.

        Raises:
            RunError: The stream broke and could not be resumed.
            OSError: The caller's connection broke.
        """
        while self._stream is not None:
            try:
                self._stream.relay(sink, self._take)
                self._end(routing.Outcome.OK)
            except backends.StreamBrokenError as exc:
                sink.sendall(self._resume(exc) or b"")

    def read_text(self) -> str:
        """Reads the whole stream and returns its text."""
        while self.read():
            pass
        text, self.tokens = relayed_text(self._relayed)
        return text

    def close(self) -> None:
        """Cancels the generation if it runs, and gives the slot back."""
        if self._stream is not None:
            self._stream.close()
        if not self._is_ended:
            self._end(routing.Outcome.CANCELLED)

    def _take(self, data: bytes) -> None:
        # Runs for every token, so it compares lengths instead of events.
        relayed = self._relayed
        relayed += data
        if len(relayed) >= self._charge_at:
            self._charge()

    def _open(self) -> None:
        text, self.tokens = relayed_text(self._relayed)
        body = bodies.engine_body(self._req, self._stage, self.tokens, text)
        if self._grant.is_floor_grant:
            # An engine with a queue would let urgent work pass it again.
            body["priority"] = bodies.HIGHEST_PRIORITY
        while self._stream is None:
            choice = self._tries.choose()
            try:
                stream = self._runner.start_stream(self._req, choice, body)
            except backends.BackendError as exc:
                self._tries.follow(choice, exc)
            else:
                self._choice, self._stream = choice, stream
                self._charged = 0

    def _resume(self, exc: backends.StreamBrokenError) -> bytes | None:
        """Goes on on another engine.

        Returns:
            The last event, if the answer lacked nothing else.
        """
        self._charge()
        choice, self._stream = self._choice, None
        self._runner.observe(choice, self._runner.outcome_of(exc), -1)
        if is_finished(self._relayed):
            # Another engine would send the finishing event a second time.
            self._finish(is_complete=True)
            return DONE_CHUNK
        try:
            if self._relayed:
                self._tries.follow_broken_stream(choice, exc)
            else:
                self._tries.follow(choice, exc)
            self._open()
        except exceptions.RunError as error:
            self._finish(is_complete=False)
            if self._relayed:
                error.run_state = exceptions.RunState.PARTIAL
            raise
        return None

    def _end(self, outcome: routing.Outcome) -> None:
        if self._stream is not None:
            self._charge()
            self._stream = None
            self._runner.observe(self._choice, outcome, -1)
            if outcome is routing.Outcome.OK:
                self._runner.clear_suspect(self._req, self._choice)
        self._finish(is_complete=outcome is routing.Outcome.OK)

    def _finish(self, is_complete: bool) -> None:
        if not self._is_ended:
            self._is_ended = True
            self._grant.release(self._runner.clock(), is_complete)

    def _charge(self) -> None:
        events = self._stream.events
        self._grant.charge(float(events - self._charged), self._runner.clock())
        self._charged = events
        self._charge_at = len(self._relayed) + CHARGE_BYTES


def relayed_text(relayed: bytes | bytearray) -> tuple[str, int]:
    """Returns the text and the number of tokens in relayed raw chunks."""
    pieces = [
        choice["delta"].get("content", "")
        for choice in _choices(relayed)
        if choice["delta"].get("content")
    ]
    return "".join(pieces), len(pieces)


def is_finished(relayed: bytes | bytearray) -> bool:
    """Tells whether an event that names the finish reason was relayed."""
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
