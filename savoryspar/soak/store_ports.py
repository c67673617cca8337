"""Addresses of the store, one per VM, each with faults of its own."""

from collections.abc import Sequence
import time
from typing import Any

import eventlet
from eventlet import wsgi

from savoryspar import platform
from savoryspar.platform import standin
from savoryspar.soak import environment
from savoryspar.standins import fault_proxy

REFUSALS = ("503 Service Unavailable", "429 Too Many Requests")
REJECTIONS = (*REFUSALS, "resets", "silence")
"""Faults with which the store turns one VM away."""
DEAF = "deaf"
DEAF_AND_SILENT = "deaf and silent"
HIDDEN = "hidden"
WATCH_FAULTS = (DEAF, DEAF_AND_SILENT, HIDDEN)
"""Watches that are open at any time of the fault are not answered, without or
with the reads that begin in it; or watches end without the changes that are
made while they are open."""
UNANSWERED_S = 60.0
"""Time after which an unanswered call ends; longer than every timeout."""


class StorePort:
    """The store as one VM reaches it.

    Attributes:
        address: ``IP:port`` that the VM connects to.
    """

    def __init__(self, store: environment.Store):
        self._store = store
        self._fault = ""
        self._deaf_times = 0
        sock = eventlet.listen(("127.0.0.1", 0))
        eventlet.spawn(
            wsgi.server, sock, self._handle_request, log_output=False
        )
        self._proxy = fault_proxy.new_fault_proxy(
            f"127.0.0.1:{sock.getsockname()[1]}", 0, 0
        )
        self.address = f"127.0.0.1:{self._proxy.port}"

    def change(self, fault: str) -> None:
        """Sets the fault, one of the tables above, or none if empty."""
        self._fault = fault
        self._deaf_times += fault in (DEAF, DEAF_AND_SILENT)
        self._proxy.change(
            {
                "refuse": fault == "resets",
                "cut": "both" if fault == "silence" else "none",
            },
            is_reset=fault == "resets",
        )

    @property
    def revision(self) -> int:
        """Revision of the last change."""
        return self._store.revision

    @property
    def era(self) -> int:
        """Number of times that the store came back from a copy."""
        return self._store.era

    def read(self, prefix: str) -> Sequence[platform.Item]:
        """Returns the items whose keys begin with a prefix, ordered."""
        if self._fault == DEAF_AND_SILENT:
            eventlet.sleep(UNANSWERED_S)
        return self._store.read(prefix)

    def wait(
        self, prefix: str, after: int, wait_s: float
    ) -> Sequence[platform.Item] | None:
        """Waits for changes after a revision, as ``Store.wait`` does."""
        ends_at = time.monotonic() + wait_s
        deaf_times = self._deaf_times
        is_open_before = not self._store.wait(prefix, after, 0.0)
        changes = self._store.wait(prefix, after, wait_s)
        if self._fault == HIDDEN and is_open_before and changes:
            eventlet.sleep(max(0.0, ends_at - time.monotonic()))
            return []
        if (
            self._fault in (DEAF, DEAF_AND_SILENT)
            or self._deaf_times > deaf_times
        ):
            eventlet.sleep(UNANSWERED_S)
        return changes

    def _handle_request(self, environ: Any, start_response: Any) -> list[bytes]:
        eventlet.sleep(self._store.delay_s)
        refusal = self._fault if self._fault in REFUSALS else ""
        if refusal or self._store.is_down:
            start_response(refusal or REFUSALS[0], [])
            return [b"{}"]
        status, fields, body = standin.serve_store(self, environ)
        start_response(status, fields)
        return [body]
