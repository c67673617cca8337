"""Servers that are shutting down and must not receive new calls."""

from collections.abc import Mapping


class LeavingServers:
    """Names and addresses of the leaving servers.

    A server is removed once it is listed as live at another address, or once
    a VM list does not contain it. A stale list that still shows it as live at
    the old address has no effect.
    """

    __slots__ = ("_addresses",)

    def __init__(self) -> None:
        self._addresses: dict[str, str] = {}

    def __contains__(self, name: str) -> bool:
        return name in self._addresses

    def add(self, name: str, address: str) -> None:
        """Marks the server instance at an address as leaving."""
        self._addresses[name] = address

    def update(
        self, live: Mapping[str, str], leaving: Mapping[str, str]
    ) -> None:
        """Applies a VM list.

        Args:
            live: Addresses of live servers by name.
            leaving: Addresses of leaving servers by name.
        """
        for name, address in [*self._addresses.items()]:
            is_absent = name not in live and name not in leaving
            if is_absent or live.get(name, address) != address:
                del self._addresses[name]
        self._addresses.update(leaving)
