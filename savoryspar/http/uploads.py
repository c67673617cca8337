"""Reads the bodies of callers within a budget."""

from collections.abc import Callable, Iterator
import contextlib
import socket
from typing import Any

import eventlet
from eventlet import wsgi

from savoryspar.http import (
    body_buffer,
    chunks,
    exceptions,
    protocol,
    upload_budget,
)


class _BodySource:
    """The connection and the bytes of a body that is being read."""

    __slots__ = ("_sock", "data")

    def __init__(self, sock: Any):
        self._sock = sock
        self.data = body_buffer.new_body_buffer()

    def has_data(self) -> bool:
        """Returns whether bytes were received and not yet read."""
        return protocol.has_data(self._sock)

    def free(self) -> None:
        """Frees the bytes."""
        self.data.clear()

    def wake_up(self) -> None:
        """Ends the wait for further bytes; the response can still be sent."""
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RD)


class BodyReader:
    """Reads bodies that together stay within a budget.

    Attributes:
        budget: The budget.
    """

    __slots__ = ("_clock", "budget")

    def __init__(
        self,
        budget: upload_budget.UploadBudget,
        clock: Callable[[], float],
    ):
        self.budget = budget
        self._clock = clock

    def read(
        self, environ: dict[str, Any], max_bytes: int, timeout_s: float
    ) -> tuple[bytes, upload_budget.Upload]:
        """Reads the whole body of a request.

        Args:
            environ: Environment of the request.
            max_bytes: Largest body.
            timeout_s: Time until the deadline of the request.

        Returns:
            The body, and its count, which the caller of this function ends
            when the body is no longer referenced.

        Raises:
            BodyTooLongError: It has more than ``max_bytes``.
            BadBodyError: It is malformed or ended early.
            UploadLateError: It did not arrive in time.
            UploadError: There is no room for it, or it was given up for others.
        """
        body = environ["eventlet.input"]
        announced = int(environ.get("CONTENT_LENGTH") or 0)
        if announced > max_bytes:
            raise _too_long_error(max_bytes)
        self.budget.set_max_body(max_bytes)
        sock = body.get_socket()
        source = _BodySource(sock)
        upload = self.budget.begin(source, announced, self._clock())
        try:
            with _limited_time(timeout_s):
                self._read_parts(body, source, upload, max_bytes)
            if source.data.size < announced:
                raise exceptions.BadBodyError(
                    f"the body ended after {source.data.size} of"
                    f" {announced} bytes",
                    "send the whole body",
                )
            self.budget.complete(upload)
            sock.complete_request(self._clock())
            return source.data.take(), upload
        except exceptions.BadBodyError as exc:
            self.budget.end(upload)
            if sock.is_given_up:
                raise _given_up_error() from exc
            raise
        except BaseException:
            self.budget.end(upload)
            raise
        finally:
            # The traceback of an error would keep the bytes.
            source.free()

    def _read_parts(
        self,
        body: chunks.ChunkedInput | chunks.SizedInput,
        source: _BodySource,
        upload: upload_budget.Upload,
        max_bytes: int,
    ) -> None:
        while True:
            try:
                part = body.read_part(max_bytes + 1 - source.data.size)
            except (ValueError, wsgi.ChunkReadError) as exc:
                if upload.error is not None:
                    raise upload.error from exc
                raise exceptions.BadBodyError(
                    f"the body cannot be read: {exc}",
                    "send the whole body, with Content-Length or chunked",
                ) from exc
            self.budget.receive(upload, len(part), self._clock())
            if not part:
                return
            source.data.append(part)
            if source.data.size + body.announced_bytes > max_bytes:
                raise _too_long_error(max_bytes)


@contextlib.contextmanager
def _limited_time(timeout_s: float) -> Iterator[None]:
    """Limits the time that the body of a ``with`` statement may wait.

    Raises:
        UploadLateError: The time has passed.
    """
    timer = eventlet.Timeout(max(0.0, timeout_s))
    try:
        yield
    except eventlet.Timeout as exc:
        if exc is not timer:
            raise
        raise exceptions.UploadLateError(
            "the body did not arrive before the deadline of the request",
            "send the body faster, or the request with a later deadline",
        ) from None
    finally:
        timer.cancel()


def _given_up_error() -> exceptions.UploadStalledError:
    return exceptions.UploadStalledError(
        "the body came too slowly, and others need its connection",
        "send the whole body without pauses",
    )


def _too_long_error(max_bytes: int) -> exceptions.BodyTooLongError:
    return exceptions.BodyTooLongError(
        f"the body has more than {max_bytes} bytes", "send a shorter body"
    )


def new_body_reader(memory_mb: float, clock: Callable[[], float]) -> BodyReader:
    """Returns a reader with an empty budget.

    Args:
        memory_mb: Memory of the VM in MB, 0 if it is not known.
        clock: Monotonic time in seconds.
    """
    return BodyReader(upload_budget.new_upload_budget(memory_mb), clock)
