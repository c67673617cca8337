"""Polls the sockets of all relayed streams with one call.

The overhead of the eventlet hub for a ready socket is about as large as the
cost of relaying itself. The sockets of the streams are therefore in a separate
epoll set, and the hub only polls that set.
"""

from collections.abc import Callable
import contextlib
from typing import Any
import weakref

from eventlet import hubs, patcher

from savoryspar import log

Callback = Callable[[], None]

# The monkey-patched select module has no epoll.
_select = patcher.original("select")
_pollers: weakref.WeakKeyDictionary[Any, "Poller"] = weakref.WeakKeyDictionary()


class Poller:
    """Runs a callback for each readable socket in the hub's loop."""

    __slots__ = ("_callbacks", "_epoll", "_logger", "_poll")

    def __init__(self, hub: Any):
        self._epoll = _select.epoll()
        self._poll = self._epoll.poll
        self._callbacks: dict[int, Callback] = {}
        self._logger = log.new_logger("pipelines")
        hub.add(
            hub.READ, self._epoll.fileno(), self._on_ready, _ignore, _ignore
        )

    def add(self, fileno: int, callback: Callback) -> None:
        """Adds a socket; its callback runs when readable and must not block."""
        self._callbacks[fileno] = callback
        self._epoll.register(fileno, _select.EPOLLIN)

    def remove(self, fileno: int) -> None:
        """Removes a socket, which may already be closed."""
        del self._callbacks[fileno]
        with contextlib.suppress(OSError, ValueError):
            self._epoll.unregister(fileno)

    def _on_ready(self, epoll_fileno: int) -> None:
        del epoll_fileno
        callbacks = self._callbacks
        try:
            for fileno, _ in self._poll(0):
                # An earlier callback may have removed this socket.
                callback = callbacks.get(fileno)
                if callback:
                    callback()
        except Exception:
            # The hub would drop the listener of all streams on an error.
            # Sockets not reached in this pass are reported by the next poll.
            self._logger.exception("A relayed stream failed.")


def get_poller() -> Poller:
    """Returns the poller of this thread's hub."""
    hub = hubs.get_hub()
    poller = _pollers.get(hub)
    if poller is None:
        poller = _pollers[hub] = Poller(hub)
    return poller


def _ignore(*unused: object) -> None:
    del unused
