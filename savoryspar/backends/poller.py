"""Polls the sockets of all relayed streams with one call.

The hub spends about as much on a ready socket as the relay itself. Here, the
sockets of the streams are in an epoll set of their own, and the hub only
watches that set.
"""

from collections.abc import Callable
import contextlib
from typing import Any
import weakref

from eventlet import hubs, patcher

from savoryspar import log

Callback = Callable[[], None]

# The module that monkey-patching leaves behind has no epoll.
_select = patcher.original("select")
_pollers: weakref.WeakKeyDictionary[Any, "Poller"] = weakref.WeakKeyDictionary()


class Poller:
    """Calls back for each readable socket, within the hub's loop."""

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
        """Calls back whenever the socket can be read; it must not wait."""
        self._callbacks[fileno] = callback
        self._epoll.register(fileno, _select.EPOLLIN)

    def remove(self, fileno: int) -> None:
        """Stops calling back for the socket, which may be closed by now."""
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
            # An error would make the hub forget all streams. Sockets that
            # were not reached are reported by the next poll.
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
