"""The stages of one request: what may start, by when, and what is left over."""

from collections.abc import Callable, Mapping, Sequence

from savoryspar import backends, fleet
from savoryspar.stages import model

CALL_ALLOWANCE = 1.3
"""Expected time of a stage as a factor of a call with its pieces alone; the
rest is the wait for the call before it and for the neighbours' pieces."""

SAFETY = 1.6
"""Time kept for a delayed stage, as a factor of its expected time."""


class Chain:
    """Progress of a request's stages.

    Attributes:
        rank: 0 is the most urgent.
        results: Handles by stage.
    """

    __slots__ = (
        "_after_s",
        "_deadline_at",
        "_objective_at",
        "_pools",
        "_req",
        "_stages",
        "rank",
        "results",
    )

    def __init__(
        self,
        req: backends.CallerRequest,
        stages: Sequence[fleet.Stage],
        pools: Mapping[str, fleet.StagePool],
        rank: int,
        objective_at: float,
        deadline_at: float,
    ):
        self._req = req
        self._stages = stages
        self._pools = pools
        self.rank = rank
        self._objective_at = objective_at
        self._deadline_at = deadline_at
        self.results: dict[int, list[str]] = {}
        self._after_s: dict[int, float] = {}
        for number in reversed(range(len(stages))):
            self._after_s[number] = max(
                (
                    self._stage_s(later) + self._after_s[later]
                    for later, stage in enumerate(stages)
                    if number in stage.after
                ),
                default=0.0,
            )

    def pieces(self, number: int) -> int:
        """Returns the number of pieces of a stage, 0 if it is left out."""
        if number < len(self._req.pieces):
            return self._req.pieces[number]
        return 0

    def expected_s(
        self, wait_s: Callable[[str], float], started: frozenset[int]
    ) -> float:
        """Returns the expected time of the stages that have not started.

        Args:
            wait_s: Returns the wait for a pool that was told last, in seconds.
            started: Stages that run or are done.
        """
        ends: dict[int, float] = {}
        for number, stage in enumerate(self._stages):
            if number in started or not self.pieces(number):
                continue
            begins_s = max((ends.get(n, 0.0) for n in stage.after), default=0.0)
            ends[number] = begins_s + max(
                self._stage_s(number), wait_s(stage.service)
            )
        return max(ends.values(), default=0.0)

    def left_s(self, now: float) -> float:
        """Returns the time until the stages must be done."""
        return self._deadline_at - now

    def ready(self, started: frozenset[int]) -> list[int]:
        """Returns the stages that may start now."""
        return [
            number
            for number, stage in enumerate(self._stages)
            if number not in started
            and self.pieces(number)
            and all(
                earlier in self.results or not self.pieces(earlier)
                for earlier in stage.after
            )
        ]

    def delay_s(self, number: int, wait_s: Callable[[str], float]) -> float:
        """Returns how long a stage whose inputs are there may wait.

        Branches that end together leave no results waiting for each other in
        their servers' memory, and little work is lost when the slowest one
        has no place.

        Args:
            number: The stage.
            wait_s: Returns the wait for a pool that was told last, in seconds.
        """
        paths = {
            other: self._path_s(other, wait_s)
            for other in range(len(self._stages))
            if other not in self.results
        }
        longest_s = max(paths.values(), default=0.0)
        return max(0.0, longest_s - SAFETY * paths[number])

    def _path_s(self, number: int, wait_s: Callable[[str], float]) -> float:
        """Returns the expected time from the start of a stage to the end."""
        if not self.pieces(number):
            return 0.0
        later_s = max(
            (
                self._path_s(later, wait_s)
                for later, stage in enumerate(self._stages)
                if number in stage.after
            ),
            default=0.0,
        )
        pool = self._stages[number].service
        return max(self._stage_s(number), wait_s(pool)) + later_s

    def group(self, number: int) -> model.Group:
        """Returns the pieces of a stage whose inputs are there."""
        stage = self._stages[number]
        inputs = [
            handle
            for earlier in stage.after
            for handle in self.results.get(earlier, ())
        ]
        return model.Group(
            self._req.attempt_id,
            stage.service,
            number,
            self.pieces(number),
            self._req.piece_key,
            inputs,
            self.rank,
            self._objective_at - self._after_s[number],
            self._deadline_at - self._after_s[number],
            stage.result_bytes,
        )

    def finish(self, number: int, handles: Sequence[str]) -> list[str]:
        """Takes the results of a stage.

        Returns:
            Handles of earlier stages that no other stage needs any more.
        """
        self.results[number] = [*handles]
        return [
            handle
            for earlier in self._stages[number].after
            if self._is_used_up(earlier)
            for handle in self.results.get(earlier, ())
        ]

    @property
    def is_done(self) -> bool:
        """Whether every stage has its results."""
        return all(
            number in self.results or not self.pieces(number)
            for number in range(len(self._stages))
        )

    def inputs(self) -> list[str]:
        """Returns the handles that the model engine fetches."""
        used = {n for stage in self._stages for n in stage.after}
        return [
            handle
            for number in range(len(self._stages))
            if number not in used
            for handle in self.results.get(number, ())
        ]

    def forget(self) -> list[str]:
        """Drops all results, to run the stages again; returns their handles."""
        handles = [h for found in self.results.values() for h in found]
        self.results = {}
        return handles

    def _is_used_up(self, number: int) -> bool:
        return all(
            later in self.results or not self.pieces(later)
            for later, stage in enumerate(self._stages)
            if number in stage.after
        )

    def _stage_s(self, number: int) -> float:
        pieces = self.pieces(number)
        pool = self._pools.get(self._stages[number].service)
        if not pieces or pool is None:
            return 0.0
        calls = -(-pieces // pool.batch)
        return CALL_ALLOWANCE * (calls * pool.call_s + pieces * pool.piece_s)


def new_chain(
    req: backends.CallerRequest,
    route: fleet.Route,
    pools: Mapping[str, fleet.StagePool],
    rank: int,
    objective_at: float,
    deadline_at: float,
) -> Chain:
    """Returns the stages of a request, none of them started.

    Args:
        req: The request; it tells the number of pieces of each stage.
        route: Its route.
        pools: Stage pools by name.
        rank: 0 is the most urgent.
        objective_at: When the stages should be done; monotonic seconds.
        deadline_at: When they must be done.
    """
    return Chain(req, route.stages, pools, rank, objective_at, deadline_at)
