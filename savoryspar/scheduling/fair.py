"""Fair queueing over the workspaces of one rank by virtual token counters.

The counter of a workspace is its service divided by its share; the
backlogged workspace with the smallest counter is served next. The estimated
cost of a job is charged when the job is granted and corrected while it runs,
so each grant immediately affects the choice of the next one.

Bound: let workspaces i and j be backlogged during a whole interval, with
shares w_i and w_j. Let M be the maximum number of slots of the pool, and U
the maximum units of one job, estimated or used. Their weighted service, in
units used by jobs, then differs by

    |S_i / w_i - S_j / w_j| <= 2 * M * U / min(w_i, w_j)

because at the last grant to i its counter was not above that of j, and at
most M jobs of both together are charged but not finished. The bound covers
service by this process only. Service that peers report is charged in addition,
so that a workspace served elsewhere waits longer here.

The virtual time is the smallest counter of a backlogged workspace. The excess
of a counter over the virtual time is the workspace's debt. An account is kept
until the virtual time reaches its counter, so that a workspace cannot clear
its debt by being idle briefly. When the queue becomes empty, all demand is
met: debt is cleared except for the units of running jobs, and the accounts of
idle workspaces are deleted.
"""

import heapq
import itertools
import math

from savoryspar.scheduling import entries

MAX_PURGED_PER_DECISION = 4
"""Limits the time that one scheduling decision spends on idle accounts."""
HEAP_SLACK = 64
"""Stale items that a heap may hold beyond its normal size until a rebuild."""
NO_KEY = -1.0


class Account:
    """State of a workspace with waiting jobs, running jobs or debt.

    Attributes:
        name: Name of the workspace.
        share: Weight of the workspace.
        counter: Service divided by share, in units.
        key: Counter value of the current heap item, or ``NO_KEY``.
        period: Busy period for which the counter is valid.
        jobs: Heap of waiting jobs; dropped jobs are removed lazily.
        backlog: Number of waiting jobs.
        units: Estimated units of the waiting jobs.
        running: Number of jobs granted and not yet released.
        in_flight: Units charged for the running jobs.
    """

    __slots__ = (
        "backlog",
        "counter",
        "in_flight",
        "jobs",
        "key",
        "name",
        "period",
        "running",
        "share",
        "units",
    )

    def __init__(self, name: str, share: float, counter: float, period: int):
        self.name = name
        self.share = share
        self.counter = counter
        self.key = NO_KEY
        self.period = period
        self.jobs: list[tuple[float, int, entries.Entry]] = []
        self.backlog = 0
        self.units = 0.0
        self.running = 0
        self.in_flight = 0.0

    @property
    def is_idle(self) -> bool:
        """Whether the workspace has no waiting and no running jobs."""
        return not self.backlog and not self.running


class FairQueue:
    """The waiting jobs of one rank.

    Attributes:
        waiting: Number of waiting jobs.
        units: Estimated units of the waiting jobs.
        shares: Sum of the shares of backlogged workspaces.
        virtual_time: Smallest counter of a backlogged workspace; never
            decreases.
        accounts: Accounts by workspace.
    """

    __slots__ = (
        "_active_heap",
        "_by_deadline",
        "_idle_heap",
        "_length_heap",
        "_period",
        "_tie_breaker",
        "accounts",
        "shares",
        "units",
        "virtual_time",
        "waiting",
    )

    def __init__(self, by_deadline: bool = True):
        self.accounts: dict[str, Account] = {}
        self.waiting = 0
        self.units = 0.0
        self.shares = 0.0
        self.virtual_time = 0.0
        self._by_deadline = by_deadline
        self._period = 0
        self._tie_breaker = itertools.count()
        self._active_heap: list[tuple[float, int, Account]] = []
        self._idle_heap: list[tuple[float, int, Account]] = []
        self._length_heap: list[tuple[float, int, Account]] = []

    def push(self, entry: entries.Entry) -> None:
        """Enqueues a job."""
        job = entry.job
        if not self.waiting:
            self._period += 1
        account = self._get_account(job.workspace, job.share)
        entry.account = account
        key = job.deadline_at if self._by_deadline else 0.0
        heapq.heappush(account.jobs, (key, entry.sequence, entry))
        account.backlog += 1
        account.units += job.cost
        self.waiting += 1
        self.units += job.cost
        if account.backlog == 1:
            account.counter = max(account.counter, self.virtual_time)
            self.shares += account.share
            self._set_key(account)
        self._push_length(account)
        self._purge()

    def pop(self) -> entries.Entry | None:
        """Removes the next job and charges its estimated cost.

        Returns:
            The job, or None when the queue is empty.
        """
        account = self._next_account()
        if account is None:
            return None
        _, _, entry = heapq.heappop(account.jobs)
        while not entry.is_waiting:
            _, _, entry = heapq.heappop(account.jobs)
        # Incremented first, because `discard` deletes idle accounts.
        account.running += 1
        self.discard(entry)
        self.charge(entry, entry.job.cost)
        return entry

    def grant_immediately(self, entry: entries.Entry) -> None:
        """Charges a job that is granted without being enqueued."""
        job = entry.job
        account = self._get_account(job.workspace, job.share)
        entry.account = account
        account.running += 1
        self.charge(entry, job.cost)
        self._purge()

    def discard(self, entry: entries.Entry) -> None:
        """Removes a waiting job from the backlog; must be called only once."""
        account = entry.account
        account.backlog -= 1
        account.units -= entry.job.cost
        self.waiting -= 1
        self.units -= entry.job.cost
        if account.backlog:
            if len(account.jobs) > 2 * account.backlog + HEAP_SLACK:
                account.jobs = [i for i in account.jobs if i[2].is_waiting]
                heapq.heapify(account.jobs)
            return
        account.units = 0.0
        account.key = NO_KEY
        account.jobs.clear()
        self.shares -= account.share
        if not self.waiting:
            self.units = self.shares = 0.0
        self._retire_if_idle(account)

    def charge(self, entry: entries.Entry, units: float) -> None:
        """Adds units, possibly negative, to the charge of a running job."""
        account = entry.account
        entry.charged += units
        account.in_flight += units
        account.counter += units / account.share
        if account.backlog and account.counter < account.key:
            self._set_key(account)

    def finish(self, entry: entries.Entry) -> None:
        """Removes a running job from its account."""
        account = entry.account
        account.running -= 1
        account.in_flight -= entry.charged
        self._retire_if_idle(account)
        self._purge()

    def charge_remote(self, workspace: str, units: float) -> None:
        """Charges service by a peer if the workspace has an account."""
        account = self.accounts.get(workspace)
        if account is not None:
            account.counter += units / account.share

    def longest(self) -> tuple[float, Account] | None:
        """Returns the largest backlog in units per share, and its account.

        Returns:
            None when no jobs wait.
        """
        heap = self._length_heap
        while heap:
            length, tie, account = heap[0]
            current = account.units / account.share
            if not account.backlog:
                heapq.heappop(heap)
            elif -length > current:
                heapq.heapreplace(heap, (-current, tie, account))
            else:
                return current, account
        return None

    def last_waiting(self, account: Account) -> entries.Entry:
        """Returns the waiting job at the end of the account's heap.

        The last item of a heap is a leaf, so it can be removed without
        reordering; when all jobs have the same time to their deadline, it is
        the newest one.
        """
        while not account.jobs[-1][2].is_waiting:
            account.jobs.pop()
        return account.jobs[-1][2]

    def units_ahead(
        self, workspace: str, share: float, upcoming: float
    ) -> float:
        """Estimates the units that are served before a new job.

        Args:
            workspace: Workspace of the new job.
            share: Share of the workspace.
            upcoming: Units of the workspace that will reach this queue later.

        Returns:
            The workspace's outstanding units divided by its fraction of the
            service; at most all waiting and upcoming units.
        """
        account = self.accounts.get(workspace)
        own = upcoming + (account.units if account is not None else 0.0)
        is_active = account is not None and account.backlog
        shares = self.shares if is_active else self.shares + share
        return min(self.units + upcoming, own * shares / share)

    def _get_account(self, name: str, share: float) -> Account:
        account = self.accounts.get(name)
        if account is None:
            account = Account(name, share, self.virtual_time, self._period)
            self.accounts[name] = account
        elif account.period != self._period:
            account.period = self._period
            account.counter = self.virtual_time + account.in_flight / share
        if not account.backlog:
            account.share = share
        return account

    def _retire_if_idle(self, account: Account) -> None:
        if not account.is_idle:
            return
        if self.accounts.get(account.name) is not account:
            return
        if not self.waiting or account.counter <= self.virtual_time:
            del self.accounts[account.name]
        else:
            item = (account.counter, next(self._tie_breaker), account)
            heapq.heappush(self._idle_heap, item)

    def _purge(self) -> None:
        """Deletes some idle accounts without debt, or of an earlier period."""
        for _ in range(MAX_PURGED_PER_DECISION):
            if not self._idle_heap:
                return
            counter, _, account = self._idle_heap[0]
            is_expired = not self.waiting or account.period != self._period
            if counter > self.virtual_time and not is_expired:
                return
            heapq.heappop(self._idle_heap)
            if account.is_idle and self.accounts.get(account.name) is account:
                if account.counter > self.virtual_time and not is_expired:
                    item = (account.counter, next(self._tie_breaker), account)
                    heapq.heappush(self._idle_heap, item)
                else:
                    del self.accounts[account.name]

    def _set_key(self, account: Account) -> None:
        """Pushes a heap item for the current counter of the account."""
        account.key = account.counter
        item = (account.key, next(self._tie_breaker), account)
        heapq.heappush(self._active_heap, item)
        if len(self._active_heap) > 2 * self.waiting + HEAP_SLACK:
            self._active_heap = [
                i for i in self._active_heap if i[0] == i[2].key
            ]
            heapq.heapify(self._active_heap)

    def _next_account(self) -> Account | None:
        """Returns the backlogged account with the smallest counter.

        Stale heap items are dropped, or replaced if the counter has risen.
        """
        heap = self._active_heap
        while heap:
            key, tie, account = heap[0]
            if not account.backlog or key != account.key:
                heapq.heappop(heap)
            elif account.counter > key:
                account.key = account.counter
                heapq.heapreplace(heap, (account.key, tie, account))
            else:
                self.virtual_time = max(self.virtual_time, key)
                return account
        return None

    def _push_length(self, account: Account) -> None:
        item = (
            -account.units / account.share,
            next(self._tie_breaker),
            account,
        )
        heapq.heappush(self._length_heap, item)
        if len(self._length_heap) > 2 * self.waiting + HEAP_SLACK:
            longest: dict[str, tuple[float, int, Account]] = {}
            for key, tie, owner in self._length_heap:
                if owner.backlog:
                    found = longest.get(owner.name, (math.inf, 0, owner))
                    longest[owner.name] = min(found, (key, tie, owner))
            self._length_heap = list(longest.values())
            heapq.heapify(self._length_heap)
