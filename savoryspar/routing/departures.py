"""Servers that are leaving and must get no new work."""

from collections.abc import Mapping


class Departures:
    """Remembers leaving servers until they come back as another instance.

    A server is taken back when it is listed live at another address, or when
    it is listed live after a list that did not contain it. A list that lags
    and still says ``live`` at the old address changes nothing.
    """

    __slots__ = ("_addresses",)

    def __init__(self) -> None:
        self._addresses: dict[str, str] = {}

    def __contains__(self, name: str) -> bool:
        return name in self._addresses

    def mark(self, name: str, address: str) -> None:
        """Takes out the instance of a server at an address."""
        self._addresses[name] = address

    def update(
        self, live: Mapping[str, str], leaving: Mapping[str, str]
    ) -> None:
        """Takes a VM list: addresses of live and leaving servers by name."""
        for name, address in [*self._addresses.items()]:
            is_absent = name not in live and name not in leaving
            if is_absent or live.get(name, address) != address:
                del self._addresses[name]
        self._addresses.update(leaving)
