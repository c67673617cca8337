"""HTTP connections that run a check before the first byte is sent."""

from collections.abc import Callable, Iterator
import contextlib
import threading

import urllib3
from urllib3 import connectionpool

from savoryspar.backends import pooled

_pending = threading.local()
"""The check for the next request of the current green thread."""


class GuardedConnection(pooled.PooledConnection):
    """Runs the check after connecting and before the first byte is sent."""

    def send(self, data: object) -> None:
        """Sends a part of a request, after the pending check if any."""
        check = getattr(_pending, "check", None)
        if check is not None:
            if self.sock is None:
                self.connect()
            _pending.check = None
            check()
        super().send(data)


class GuardedPool(connectionpool.HTTPConnectionPool):
    """Connections to one server."""

    ConnectionCls = GuardedConnection


@contextlib.contextmanager
def before_first_byte(check: Callable[[], None] | None) -> Iterator[None]:
    """Runs the check before the first byte of the request in the block.

    The request is not sent if the check raises.
    """
    _pending.check = check
    try:
        yield
    finally:
        _pending.check = None


def new_pool_manager(**options: object) -> urllib3.PoolManager:
    """Returns a pool manager whose connections run the pending check."""
    pool = urllib3.PoolManager(**options)
    pool.pool_classes_by_scheme = {"http": GuardedPool}
    return pool
