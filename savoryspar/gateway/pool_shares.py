"""A limit on the part of an entry VM that the requests of one pool take.

A pool that is slow keeps its requests for long. Without a limit, they would
take all memory for requests, and those to other pools would find no room.
"""

from savoryspar.gateway import model

MAX_SHARE = 0.75
"""Part of the memory for requests that those of one pool may take."""
RETRY_S = 1.0
"""Time after which a refused caller may retry."""


class PoolShares:
    """Memory of requests by pool; create it with ``new_pool_shares``.

    Attributes:
        refused: Requests that were refused since the start.
    """

    __slots__ = ("_held", "_max_bytes", "refused")

    def __init__(self, max_bytes: float):
        self._max_bytes = max_bytes
        self._held: dict[str, int] = {}
        self.refused = 0

    def begin(self, pool: str, size: int) -> None:
        """Counts a request.

        Args:
            pool: Pool of the request.
            size: Memory that it takes in bytes, without its body.

        Raises:
            GatewayError: The requests of the pool take their share.
        """
        held = self._held.get(pool, 0) + size
        # One request of any size is served.
        if held > self._max_bytes and held > size:
            self.refused += 1
            raise model.refusal(
                "pool_share",
                f"the requests to pool {pool!r} that run take their part of"
                " this entry VM",
                RETRY_S,
            )
        self._held[pool] = held

    def end(self, pool: str, size: int) -> None:
        """Ends the count of a request."""
        self._held[pool] -= size
        if not self._held[pool]:
            del self._held[pool]


def new_pool_shares(request_bytes: float) -> PoolShares:
    """Returns an empty count.

    Args:
        request_bytes: Memory for the requests of all callers.
    """
    return PoolShares(MAX_SHARE * request_bytes)
