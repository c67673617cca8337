"""Client of the platform's list of live and leaving VMs.

The list may lag behind the actual state.
"""

from collections.abc import Mapping
import json
from typing import Any

import urllib3

from savoryspar import backends
from savoryspar.discovery import exceptions

CONNECT_TIMEOUT_S = 1.0
READ_TIMEOUT_S = 2.0


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

    __slots__ = ("_pool", "_url")

    def __init__(self, url: str, pool: urllib3.PoolManager):
        self._url = url.rstrip("/")
        self._pool = pool

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
            return [_decode(item) for item in json.loads(resp.data)["vms"]]
        except urllib3.exceptions.HTTPError as exc:
            raise exceptions.PlatformError(
                f"the VM list service does not answer: {exc}",
                "the last list stays in use; check [platform] vm_list_url",
            ) from exc
        except (ValueError, KeyError, TypeError) as exc:
            raise exceptions.PlatformError(
                f"the VM list cannot be decoded: {exc!r}",
                "the last list stays in use; check [platform] vm_list_url",
            ) from exc


def _decode(item: Mapping[str, Any]) -> Vm:
    return Vm(
        name=item["name"],
        address=item["address"],
        region=item["region"],
        zone=item["zone"],
        role=item["role"],
        pool=item.get("pool", ""),
        is_leaving=item["state"] == "leaving",
        peer_address=item.get("peer_address", ""),
    )


def new_vm_list_client(url: str) -> VmListClient:
    """Returns a client with its own connections."""
    return VmListClient(
        url, backends.new_strict_pool_manager(maxsize=1, block=False)
    )
