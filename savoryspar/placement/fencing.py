"""Fencing numbers, which grow over senders, restarts and clocks set back."""


class FencingClock:
    """Draws numbers above every number that was seen.

    Attributes:
        highest: Highest number drawn here or seen at engines and peers.
    """

    __slots__ = ("highest",)

    def __init__(self) -> None:
        self.highest = 0

    def observe(self, number: int) -> None:
        """Learns a number that an engine or a peer reported."""
        self.highest = max(self.highest, number)

    def next_number(self, wall_s: float) -> int:
        """Returns a new number.

        Args:
            wall_s: Seconds since the Unix epoch. The clock lets a sender that
                restarts exceed its earlier numbers before it has seen any.
        """
        self.highest = max(int(wall_s * 1000), self.highest + 1)
        return self.highest
