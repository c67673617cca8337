"""Progress of a request's stages: dependencies, deadlines and results."""

from collections.abc import Callable, Mapping, Sequence

from savoryspar import backends, fleet
from savoryspar.stages import model

CALL_ALLOWANCE = 1.3
"""Ratio of the expected time of a stage to that of a call with only its pieces.
The excess covers the wait for the previous call and for other requests' pieces
in the same batch."""

SAFETY = 1.6
"""Ratio of the time reserved for a delayed stage to its expected time."""


class Chain:
    """Progress of a request's stages.

    Attributes:
        home_regions: Regions in which the stages may run, None for all.
        rank: Rank of the request; 0 is the most urgent.
        results: Handles of the results by stage number.
    """

    __slots__ = (
        "_deadline_at",
        "_objective_at",
        "_pools",
        "_remaining_s",
        "_req",
        "_stages",
        "_workspace",
        "home_regions",
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
        home_regions: frozenset[str] | None = None,
        workspace: str = "",
    ):
        self.home_regions = home_regions
        self._req = req
        self._workspace = workspace
        self._stages = stages
        self._pools = pools
        self.rank = rank
        self._objective_at = objective_at
        self._deadline_at = deadline_at
        self.results: dict[int, list[str]] = {}
        # Expected time from the end of each stage to the end of all stages.
        self._remaining_s: dict[int, float] = {}
        for number in reversed(range(len(stages))):
            self._remaining_s[number] = max(
                (
                    self._stage_s(later) + self._remaining_s[later]
                    for later, stage in enumerate(stages)
                    if number in stage.after
                ),
                default=0.0,
            )

    def pools(self) -> set[str]:
        """Returns the pools of the stages that have no results yet."""
        return {self._stages[number].service for number in self.numbers()}

    def numbers(self) -> list[int]:
        """Returns the numbers of the stages that have no results yet."""
        return [
            number
            for number in range(len(self._stages))
            if self.pieces(number) and number not in self.results
        ]

    def pieces(self, number: int) -> int:
        """Returns the number of pieces of a stage, 0 if it is omitted."""
        if number < len(self._req.pieces):
            return self._req.pieces[number]
        return 0

    def expected_s(
        self, wait_s: Callable[[str], float], started: frozenset[int]
    ) -> float:
        """Returns the expected time of the stages that have not started.

        Args:
            wait_s: Returns the last reported wait for a pool, in seconds.
            started: Numbers of the stages that are running or done.
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
        """Returns the time left until the deadline of the stages."""
        return self._deadline_at - now

    def ready(self, started: frozenset[int]) -> list[int]:
        """Returns the numbers of the stages that may start now."""
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
        """Returns how long the start of a ready stage may be delayed.

        If all branches end at the same time, no results occupy a server's
        memory while another branch runs, and little work is wasted when the
        slowest branch is refused.

        Args:
            number: Number of the stage.
            wait_s: Returns the last reported wait for a pool, in seconds.
        """
        paths = {
            other: self._path_s(other, wait_s)
            for other in range(len(self._stages))
            if other not in self.results
        }
        longest_s = max(paths.values(), default=0.0)
        return max(0.0, longest_s - SAFETY * paths[number])

    def _path_s(self, number: int, wait_s: Callable[[str], float]) -> float:
        """Returns the expected time from a stage's start to the end."""
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
        """Creates the group of pieces of a ready stage."""
        stage = self._stages[number]
        inputs = [
            handle
            for earlier in stage.after
            for handle in self.results.get(earlier, ())
        ]
        group = model.Group(
            self._req.attempt_id,
            stage.service,
            number,
            self.pieces(number),
            self._req.piece_key,
            inputs,
            self.rank,
            self._objective_at - self._remaining_s[number],
            self._deadline_at - self._remaining_s[number],
            stage.result_bytes,
            self.home_regions,
        )
        group.workspace = self._workspace
        return group

    def finish(self, number: int, handles: Sequence[str]) -> list[str]:
        """Stores the results of a stage.

        Returns:
            Handles of earlier results that no remaining stage needs.
        """
        self.results[number] = [*handles]
        return [
            handle
            for earlier in self._stages[number].after
            if self._is_consumed(earlier)
            for handle in self.results.get(earlier, ())
        ]

    @property
    def is_done(self) -> bool:
        """Whether every stage that has pieces has its results."""
        return all(
            number in self.results or not self.pieces(number)
            for number in range(len(self._stages))
        )

    def inputs(self) -> list[str]:
        """Returns the handles of the results that the engine fetches."""
        used = {n for stage in self._stages for n in stage.after}
        return [
            handle
            for number in range(len(self._stages))
            if number not in used
            for handle in self.results.get(number, ())
        ]

    def reset(self) -> list[str]:
        """Drops all results to rerun the stages; returns their handles."""
        handles = [h for found in self.results.values() for h in found]
        self.results = {}
        return handles

    def _is_consumed(self, number: int) -> bool:
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
    home_regions: frozenset[str] | None = None,
    workspace: str = "",
) -> Chain:
    """Creates the chain of a request's stages.

    Args:
        req: The request, with the number of pieces of each stage.
        route: Route of the request, with its stages.
        pools: Stage pools by name.
        rank: Rank of the request; 0 is the most urgent.
        objective_at: When the stages should be done; monotonic seconds.
        deadline_at: When the stages must be done; monotonic seconds.
        home_regions: Regions in which the stages may run, None for all.
        workspace: Workspace of the request, empty without one.
    """
    return Chain(
        req,
        route.stages,
        pools,
        rank,
        objective_at,
        deadline_at,
        home_regions,
        workspace,
    )
