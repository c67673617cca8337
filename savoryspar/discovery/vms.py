"""Client of the platform's list of live and leaving VMs.

The list may lag behind the actual state.
"""

from collections.abc import Iterable
from typing import Any

import urllib3

from savoryspar import backends, decoding, log
from savoryspar.discovery import exceptions

CONNECT_TIMEOUT_S = 1.0
READ_TIMEOUT_S = 2.0
MAX_LIST_BYTES = 8 << 20
NO_PORT = ":0"
"""End of the peer address of a VM that serves no peers."""

logger = log.new_logger("platform")


class Vm:
    """One entry of the VM list.

    Attributes:
        name: Unique name.
        address: ``IP:port`` at which the VM serves requests.
        region, zone: Location of the VM.
        role: ``entry`` or ``backend``.
        pool: Pool of a backend server; empty for an entry VM.
        is_leaving: Whether the VM must not be given new work.
        peer_address: ``IP:port`` for peers of an entry VM; empty for a
            backend server.
    """

    __slots__ = (
        "address",
        "is_leaving",
        "name",
        "peer_address",
        "pool",
        "region",
        "role",
        "zone",
    )

    def __init__(
        self,
        name: str,
        address: str,
        region: str,
        zone: str,
        role: str,
        pool: str,
        is_leaving: bool,
        peer_address: str = "",
    ):
        self.name = name
        self.address = address
        self.region = region
        self.zone = zone
        self.role = role
        self.pool = pool
        self.is_leaving = is_leaving
        self.peer_address = peer_address


class VmListClient:
    """Reads the VM list."""

    __slots__ = ("_faults", "_pool", "_url")

    def __init__(self, url: str, pool: urllib3.PoolManager):
        self._url = url.rstrip("/")
        self._pool = pool
        self._faults: list[str] = []

    def read(self) -> list[Vm]:
        """Returns the current list of the platform.

        Raises:
            PlatformError: The service is unavailable or its answer is invalid.
        """
        timeout = urllib3.Timeout(
            connect=CONNECT_TIMEOUT_S, read=READ_TIMEOUT_S
        )
        try:
            resp = self._pool.request(
                "GET", f"{self._url}/v1/vms", timeout=timeout, retries=False
            )
            with decoding.reading("the VM list"):
                body = decoding.decode_envelope(resp.data, MAX_LIST_BYTES)
                items = [*body["vms"]]
        except urllib3.exceptions.HTTPError as exc:
            raise exceptions.PlatformError(
                f"the VM list service does not answer: {exc}",
                "the last list stays in use; check [platform] vm_list_url",
            ) from exc
        except decoding.DecodingError as exc:
            raise exceptions.PlatformError(
                f"the VM list cannot be decoded: {exc}",
                "the last list stays in use; check [platform] vm_list_url",
            ) from exc
        return self._decode_each(items)

    def _decode_each(self, items: Iterable[Any]) -> list[Vm]:
        """Decodes the entries, and logs malformed ones when they change."""
        vms, faults = [], []
        for item in items:
            try:
                vms.append(_decode(item))
            except decoding.DecodingError as exc:
                faults.append(f"{exc}: {item!r:.80}")
        if faults != self._faults:
            self._faults = faults
            for fault in faults:
                logger.warning(f"Entry of the VM list ignored. {fault}")
        return vms


def _decode(item: Any) -> Vm:
    """Decodes an entry.

    Raises:
        DecodingError: A field is missing or malformed.
    """
    with decoding.reading("an entry"):
        pool = item.get("pool")
        return Vm(
            name=decoding.text(item["name"]),
            address=decoding.address(item["address"]),
            region=decoding.text(item["region"]),
            zone=decoding.text(item["zone"]),
            role=decoding.text(item["role"]),
            pool=decoding.text(pool) if pool else "",
            is_leaving=decoding.text(item["state"]) == "leaving",
            peer_address=_peer_address(item.get("peer_address")),
        )


def _peer_address(value: Any) -> str:
    """Returns the address for peers, empty if it is absent or has port 0."""
    if not value or decoding.text(value).endswith(NO_PORT):
        return ""
    return decoding.address(value)


def new_vm_list_client(url: str) -> VmListClient:
    """Returns a client with its own connections."""
    return VmListClient(
        url, backends.new_strict_pool_manager(maxsize=1, block=False)
    )
