"""Notices that a caller hung up while its request runs."""

from collections.abc import Iterator
import contextlib
import socket

import eventlet


class CallerGoneError(BaseException):
    """The caller closed its connection; raised in the request's green thread.

    It derives from ``BaseException`` so that no handler of ordinary errors
    keeps the request running.
    """


@contextlib.contextmanager
def cancel_on_hangup(sock: socket.socket) -> Iterator[None]:
    """Raises ``CallerGoneError`` in the body when the caller hangs up."""
    watcher = eventlet.spawn(_watch, sock, eventlet.getcurrent())
    try:
        yield
    finally:
        watcher.kill()


def _watch(sock: socket.socket, request_thread: object) -> None:
    # Data would be a pipelined request, which stays in the buffer.
    if not _peek(sock):
        eventlet.kill(request_thread, CallerGoneError())


def _peek(sock: socket.socket) -> bytes:
    while True:
        try:
            return sock.recv(1, socket.MSG_PEEK)
        except TimeoutError:
            continue  # The socket's timeout says nothing about the caller.
        except OSError:
            return b""
