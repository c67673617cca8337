"""Answers of backend servers, read to an end that shows they are whole."""

from collections.abc import Callable
import contextlib
import http.client
import socket

import urllib3
from urllib3 import connection

from savoryspar.backends import (
    boundaries,
    bounded,
    buffers,
    end_checks,
    ends,
    exceptions,
    requests,
    strict,
)

MAX_FRAMING_BYTES = 65536
"""Limit for chunk lines and trailers in one read of a body."""
MAX_BUFFERED_BYTES = 1 << 20
"""Largest body that is buffered completely. The smallest VMs have 200 MB, of
which an idle process takes 45; answers of the platform's services have about
1 KB."""
SKIP_TIMEOUT_S = 0.25
"""Timeout for the body of an answer of which only the head is used."""
DEADLINE_GRACE_S = 0.1
"""Time after the deadline for data in flight: a server sends its last bytes, or
its own 504, at the deadline that it was given."""

CONNECTION_ERRORS = (
    OSError,
    ValueError,
    AttributeError,
    http.client.HTTPException,
    urllib3.exceptions.HTTPError,
)
CRASH_ERRORS = (
    ConnectionError,
    http.client.IncompleteRead,
    strict.TruncatedLineError,
)
"""Errors that suggest that the request crashed the server: the connection was
lost. A server that answers something else still runs."""


def read_body(
    resp: http.client.HTTPResponse, sock: bounded.BoundedSocket
) -> bytes:
    """Reads the complete body of a response, within the limits of its socket.

    The reader stays open, as its buffer may have bytes of the next answer.

    Raises:
        HTTPException, OSError: The body is late, too long or incomplete.
    """
    body = bytearray()
    while data := resp.read1(strict.READ_BYTES):
        body += data
    if resp.length or sock.is_reset:
        raise http.client.IncompleteRead(bytes(body), resp.length)
    return bytes(body)


class Answer:
    """A server's answer after its head was read.

    Attributes:
        server: ID of the server.
        status, reason: Status code and reason phrase.
        fields: Header fields as received.
        facts: Decoded head.
        is_repeated: Whether the request was sent on another connection before,
            so that it may have run even if the answer states otherwise.
        is_complete: Whether the body was read to its end or the answer closed.
        end: How the body ended, None before that.
        end_evidence: What shows whether a body without a length is complete,
            empty if nothing was needed.
    """

    __slots__ = (
        "_body",
        "_boundary",
        "_buffered",
        "_check_end",
        "_clock",
        "_conn",
        "_has_no_length",
        "_last_byte_at",
        "_release",
        "_resp",
        "_sock",
        "end",
        "end_evidence",
        "facts",
        "fields",
        "is_complete",
        "is_repeated",
        "reason",
        "server",
        "status",
    )

    def __init__(
        self,
        server: str,
        conn: connection.HTTPConnection,
        sock: bounded.BoundedSocket,
        resp: http.client.HTTPResponse,
        facts: requests.AnswerFacts,
        release: Callable[["Answer"], None],
        check_end: Callable[[float, float], end_checks.Evidence],
        is_answer: Callable[[boundaries.Head], bool],
        clock: Callable[[], float],
        buffered: buffers.BufferedBytes,
    ):
        self.server = server
        self._clock = clock
        self._buffered = buffered
        self.status = resp.status
        self.reason = resp.reason
        self.fields = resp.getheaders()
        self.facts = facts
        self.is_complete = False
        self.is_repeated = False
        self.end: ends.End | None = None
        self.end_evidence = ""
        self._check_end = check_end
        self._last_byte_at = clock()
        self._body: bytes | None = None
        self._conn = conn
        self._sock = sock
        self._resp = resp
        # Bytes after the last chunk are looked for.
        resp.keeps_reader = True
        self._has_no_length = resp.length is None
        self._release = release
        self._boundary = (
            boundaries.BoundaryFinder(is_answer)
            if self.ends_with_connection
            else None
        )

    @property
    def length(self) -> int | None:
        """Bytes of the body that are still unread, None if unknown.

        Only a stated length distinguishes a large body from an endless one.
        """
        return None if self._resp.chunked else self._resp.length

    @property
    def ends_with_connection(self) -> bool:
        """Whether the body has neither a length nor chunks."""
        return not self._resp.chunked and self._has_no_length

    def read_part(self, until: float, has_own_end: bool = False) -> bytes:
        """Waits for a part of the body; empty after the last one.

        Args:
            until: Monotonic time by which the part must arrive.
            has_own_end: Whether the reader recognizes from the bytes that the
                body is complete.

        Raises:
            CallOutcomeUnknownError: The body ended early or may have, was late,
                or its framing exceeds the size limit.
        """
        if self.is_complete:
            return b""
        while data := self._read_bytes(until):
            self._last_byte_at = self._clock()
            if self._boundary is None:
                return data
            data = self._boundary.feed(data)
            if self._boundary.head is not None:
                self._end_before_next_answer()
                return data
            if data:
                return data
        self._check_missing()
        rest = self._held_bytes()
        if self.ends_with_connection and not has_own_end:
            self._confirm_end(until)
        self.is_complete = True
        self._buffered.remove(self)
        self.end = self._complete_end()
        has_extra_bytes = self._has_extra_bytes()
        # http.client sends no further request on the connection until the
        # response is closed, even after its body was read to the end.
        self._resp.close()
        if has_extra_bytes:
            self._conn.close()
        else:
            self._release(self)
        return rest

    def _read_bytes(self, until: float) -> bytes:
        """Waits for bytes of the body; empty at the end of the connection.

        Raises:
            CallOutcomeUnknownError: As for ``read_part``.
        """
        try:
            self._sock.set_limits(
                self._clock, until, strict.READ_BYTES + MAX_FRAMING_BYTES
            )
            return self._resp.read1(strict.READ_BYTES)
        except CONNECTION_ERRORS as exc:
            self._fail(ends.end_of_error(exc, self._sock.is_reset))
            raise exceptions.CallOutcomeUnknownError(
                self.server,
                f"reading the answer failed: {exc!r}",
                "the answer is incomplete; check the backend server",
                has_sent=True,
                is_crash=isinstance(exc, CRASH_ERRORS) and not self.is_aborted,
                end=self.end,
            ) from exc

    def _check_missing(self) -> None:
        """Checks that the connection did not end inside the body.

        Raises:
            CallOutcomeUnknownError: It did.
        """
        missing = self._resp.length
        if missing or self._sock.is_reset:
            self._fail(ends.End.RESET if self._sock.is_reset else ends.End.CUT)
            raise exceptions.CallOutcomeUnknownError(
                self.server,
                f"the answer ended early: {missing} bytes are missing",
                "the answer is incomplete; check the backend server",
                has_sent=True,
                is_crash=not self.is_aborted,
                end=self.end,
            )

    def _held_bytes(self) -> bytes:
        """Returns the last bytes, which were held as the start of a head.

        Raises:
            CallOutcomeUnknownError: The connection ended inside a head.
        """
        if self._boundary is None or not self._boundary.holds_head:
            return self._boundary.held if self._boundary else b""
        self._fail(ends.End.CUT)
        raise exceptions.CallOutcomeUnknownError(
            self.server,
            "the connection ended inside the head of another answer",
            "the end of the answer is not known; check the backend server",
            has_sent=True,
            end=self.end,
        )

    def _end_before_next_answer(self) -> None:
        """Ends the body where another answer begins.

        The server has sent the whole body, as it went on with that answer.
        """
        self.end = ends.End.CONNECTION
        self.end_evidence = end_checks.Evidence.NEXT_ANSWER
        self.close()

    def _confirm_end(self, until: float) -> None:
        """Checks that the server has ended the body deliberately.

        Raises:
            CallOutcomeUnknownError: Nothing shows that it has.
        """
        self.end_evidence = evidence = self._check_end(
            self._last_byte_at, until
        )
        if evidence in end_checks.COMPLETE:
            return
        self._fail(ends.End.UNCONFIRMED)
        raise exceptions.CallOutcomeUnknownError(
            self.server,
            "the connection was closed, and nothing shows that the answer is"
            f" complete: {evidence.value}",
            "the answer may be incomplete; check the backend server",
            has_sent=True,
            is_crash=evidence in end_checks.LOST_PROCESS,
            end=self.end,
        )

    def _fail(self, end: ends.End) -> None:
        """Closes the connection of an answer that ended early."""
        self.end = self.end or end
        self.close()

    def _complete_end(self) -> ends.End:
        """Returns how a body ended that is complete."""
        if self._resp.chunked:
            return ends.End.LAST_CHUNK
        if self._has_no_length:
            return ends.End.CONNECTION
        return ends.End.LENGTH

    def _has_extra_bytes(self) -> bool:
        """Returns whether bytes after the answer were received with it.

        These bytes are lost with the reader, and the rest of their message
        would be read as the start of the next answer.
        """
        if self._resp.fp is None:
            return False
        # A reader with an empty buffer reads from the socket, which raises as
        # its deadline has passed.
        self._sock.set_limits(self._clock, self._clock(), 0)
        with contextlib.suppress(TimeoutError):
            return bool(self._resp.fp.peek(1))
        return False

    def set_body(self, body: bytes) -> None:
        """Sets the body, which was read to its end to identify the answer."""
        self._body = body
        self.read_part(self._clock(), has_own_end=True)

    def read_all(self, deadline_at: float, has_own_end: bool = False) -> bytes:
        """Reads the complete body, of at most ``MAX_BUFFERED_BYTES``.

        Args:
            deadline_at: Monotonic time; data in flight at this time is still
                read, for up to ``DEADLINE_GRACE_S``.
            has_own_end: As for ``read_part``.

        Raises:
            CallOutcomeUnknownError: As for ``read_part``, or the body is too
                long.
        """
        if self._body is not None:
            return self._body
        body = bytearray()
        try:
            until = deadline_at + DEADLINE_GRACE_S
            while data := self.read_part(until, has_own_end):
                body += data
                self.hold(len(body))
                if len(body) > MAX_BUFFERED_BYTES:
                    raise exceptions.CallOutcomeUnknownError(
                        self.server,
                        f"the answer has more than {MAX_BUFFERED_BYTES} bytes,"
                        " the largest size that is buffered",
                        "check the server",
                        has_sent=True,
                    )
        except BaseException:
            # Also when the caller disconnected: closing cancels the request at
            # the server. The traceback of the error keeps this frame.
            body.clear()
            self.close()
            raise
        finally:
            self._buffered.remove(self)
        return bytes(body)

    def discard_rest(self, deadline_at: float) -> str:
        """Reads and discards the body, so that the connection can be reused.

        Only the head is needed, so a truncated or endless body only closes
        the connection.

        Returns:
            Why the body was not read to its end, empty if it was.
        """
        until = min(deadline_at, self._clock() + SKIP_TIMEOUT_S)
        try:
            self.read_all(until, has_own_end=True)
        except exceptions.CallOutcomeUnknownError as exc:
            return str(exc)
        return ""

    @property
    def is_aborted(self) -> bool:
        """Whether this process has given up the answer."""
        return self.end is ends.End.CLOSED_HERE

    def abort(self) -> None:
        """Makes a read by another green thread fail."""
        self.end = self.end or ends.End.CLOSED_HERE
        self._sock.abort()

    def hold(self, size: int) -> None:
        """Counts bytes of the body that its reader keeps.

        If the bodies of all calls have too many, the largest one is aborted.
        """
        self._buffered.set(self, size)

    def close(self) -> None:
        """Closes the connection, which cancels the request at the server."""
        self.end = self.end or ends.End.CLOSED_HERE
        self.is_complete = True
        self._buffered.remove(self)
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)
        with contextlib.suppress(*CONNECTION_ERRORS):
            self._resp.close()
        self._conn.close()
