"""Fencing numbers, which grow across senders, restarts and clock changes."""


class FencingClock:
    """Generates numbers greater than every number observed.

    Attributes:
        highest: Highest number generated here or observed.
    """

    __slots__ = ("highest",)

    def __init__(self) -> None:
        self.highest = 0

    def observe(self, number: int) -> None:
        """Records a number that an engine or a peer reported."""
        self.highest = max(self.highest, number)

    def next_number(self, wall_s: float) -> int:
        """Returns a new number.

        Args:
            wall_s: Seconds since the Unix epoch. Based on the wall clock, the
                numbers of a restarted sender exceed its earlier ones before it
                has observed any.
        """
        self.highest = max(int(wall_s * 1000), self.highest + 1)
        return self.highest
