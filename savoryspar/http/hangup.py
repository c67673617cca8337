"""Cancels a request when its caller closes the connection."""

from collections.abc import Iterator
import contextlib
import socket
import time

import eventlet

from savoryspar.http import exceptions


class CallerGoneError(BaseException):
    """The caller closed its connection; raised in the request's green thread.

    It is also raised where there is no room for what the caller sends before
    its response.

    It derives from ``BaseException`` so that ``except Exception`` does not
    catch it and keep the request running.
    """


@contextlib.contextmanager
def cancel_on_hangup(sock: socket.socket) -> Iterator[None]:
    """Raises ``CallerGoneError`` in the body if the caller disconnects."""
    watcher = eventlet.spawn(_kill_on_hangup, sock, eventlet.getcurrent())
    try:
        yield
    finally:
        watcher.kill()


def _kill_on_hangup(sock: socket.socket, request_thread: object) -> None:
    if not _peek(sock):
        eventlet.kill(request_thread, CallerGoneError())
        return
    # Received data is a pipelined request, which stays in the buffer.
    try:
        sock.count_unread(time.monotonic())
    except exceptions.ConnectionsFullError:
        eventlet.kill(request_thread, CallerGoneError())


def _peek(sock: socket.socket) -> bytes:
    while True:
        try:
            return sock.recv(1, socket.MSG_PEEK)
        except TimeoutError:
            continue  # No data yet; the caller may still be connected.
        except OSError:
            return b""
