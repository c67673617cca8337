"""An answer that is streamed, resumed on another engine when one fails."""

import json
import socket
from typing import TYPE_CHECKING

from savoryspar import backends, routing, sheet
from savoryspar.pipelines import bodies, exceptions, model

if TYPE_CHECKING:
    from savoryspar.pipelines import runner as runner_lib

MAX_RESUMES = 3
DONE = b"[DONE]"


class AnswerStream:
    """The stream of one generation stage.

    Attributes:
        tokens: Tokens relayed so far.
    """

    __slots__ = (
        "_choice",
        "_excluded",
        "_grant",
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
        self._excluded: frozenset[str] = frozenset()
        self._relayed = bytearray()
        self._choice: routing.Choice | None = None
        self._stream: backends.EngineStream | None = None
        self.tokens = 0
        cost = float(req.body.get("max_tokens", bodies.DEFAULT_MAX_TOKENS))
        self._grant = runner.admit(req, stage, cost)
        try:
            self._open()
        except BaseException:
            self._grant.release(runner.clock())
            raise

    def read(self) -> bytes:
        """Returns the next events as raw HTTP chunks; empty after the last.

        Raises:
            RunError: The stream broke and could not be resumed.
        """
        while True:
            try:
                data = self._stream.read()
            except backends.StreamBrokenError as exc:
                self._resume(exc)
                continue
            self._take(data)
            if not data:
                self._end(routing.Outcome.OK)
            return data

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
                self._resume(exc)

    def read_text(self) -> str:
        """Reads the whole stream and returns its text."""
        while self.read():
            pass
        text, self.tokens = relayed_text(self._relayed)
        return text

    def close(self) -> None:
        """Cancels the generation if it is still running."""
        if self._stream is not None:
            self._stream.close()
            self._end(routing.Outcome.CANCELLED)

    def _take(self, data: bytes) -> None:
        self._relayed += data

    def _open(self) -> None:
        text, self.tokens = relayed_text(self._relayed)
        body = bodies.engine_body(self._req, self._stage, self.tokens, text)
        for _ in range(MAX_RESUMES):
            self._choice = self._runner.choose(
                self._req, self._stage, self._excluded
            )
            try:
                self._stream = self._runner.start_stream(
                    self._req, self._choice, body
                )
                return
            except backends.BackendError as exc:
                self._excluded |= {self._choice.server.name}
                error = exc
        raise self._runner.failure(self._req, error)

    def _resume(self, exc: backends.StreamBrokenError) -> None:
        self._runner.observe(self._choice, routing.Outcome.CRASHED, -1)
        self._stream = None
        self._excluded |= {self._choice.server.name}
        try:
            if len(self._excluded) > MAX_RESUMES:
                raise self._runner.failure(self._req, exc)
            self._open()
        except exceptions.RunError as error:
            self._grant.release(self._runner.clock())
            if self._relayed:
                error.run_state = exceptions.RunState.PARTIAL
            raise

    def _end(self, outcome: routing.Outcome) -> None:
        load = self._stream.load
        self._stream = None
        self._runner.observe(self._choice, outcome, load)
        self._grant.release(self._runner.clock())


def relayed_text(relayed: bytes | bytearray) -> tuple[str, int]:
    """Returns the text and the number of tokens in relayed raw chunks."""
    pieces = [
        choice["delta"].get("content", "")
        for event in event_payloads(bytes(relayed))
        if event != DONE
        for choice in json.loads(event).get("choices", ())
        if choice["delta"].get("content")
    ]
    return "".join(pieces), len(pieces)


def event_payloads(raw: bytes) -> list[bytes]:
    """Returns the data of each event in raw HTTP chunks."""
    return [
        line.removeprefix(b"data: ")
        for line in raw.split(b"\n")
        if line.startswith(b"data: ")
    ]
