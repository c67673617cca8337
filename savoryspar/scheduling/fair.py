"""Fair queueing over the workspaces of one rank by virtual token counters.

The counter of a workspace is its service divided by its share; the
backlogged workspace with the smallest counter is served. The estimate of a
job is charged when it is granted and corrected while it runs, so several
grants in a row to one workspace are seen at once.

Bound: let workspaces i and j be backlogged during the whole of an interval,
with shares w_i and w_j. Let M be the most slots of the pool, and U the most
units of one job, estimated or used. Their weighted service, in units used by
jobs, then differs by

    |S_i / w_i - S_j / w_j| <= 2 * M * U / min(w_i, w_j)

because at the last grant to i its counter was not above that of j, and at
most M jobs of both together are charged but not finished. The bound is for
service of this process; service that peers report is charged on top of it
and moves the counters on purpose.

A counter that is above the virtual time (the smallest counter of a
backlogged workspace) is debt. It is kept until the virtual time has passed
it, so that a workspace cannot lose it by being idle for a moment. Once
nothing waits, every workspace has what it asked for, and all debt but that
of jobs still running is forgotten; an idle workspace then has no state.
"""

import heapq
import itertools
import math

from savoryspar.scheduling import entries

PURGED_PER_DECISION = 4
"""Idle accounts removed in one decision; more would delay the decision."""
SLACK = 64
"""Stale heap items that are tolerated before a heap is rebuilt."""
NO_KEY = -1.0


class Account:
    """State of a workspace that waits, runs or has debt.

    Attributes:
        name: Workspace.
        share: Its weight.
        counter: Service divided by share, in units.
        key: Counter under which it stands in the heap, or ``NO_KEY``.
        period: Busy period for which the counter is valid.
        jobs: Heap of waiting jobs; dropped jobs stay until they surface.
        backlog: Jobs waiting.
        units: Estimated units of the jobs waiting.
        running: Jobs granted and not released.
        in_flight: Units charged for them.
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
        """Whether nothing of the workspace waits or runs."""
        return not self.backlog and not self.running


class FairQueue:
    """The waiting jobs of one rank.

    Attributes:
        waiting: Jobs waiting.
        units: Estimated units of the jobs waiting.
        shares: Sum of the shares of backlogged workspaces.
        virtual_time: Smallest counter of a backlogged workspace so far.
        accounts: Accounts by workspace.
    """

    __slots__ = (
        "_active",
        "_by_deadline",
        "_idle",
        "_lengths",
        "_period",
        "_tie",
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
        self._tie = itertools.count()
        self._active: list[tuple[float, int, Account]] = []
        self._idle: list[tuple[float, int, Account]] = []
        self._lengths: list[tuple[float, int, Account]] = []

    def push(self, entry: entries.Entry) -> None:
        """Queues a job."""
        job = entry.job
        if not self.waiting:
            self._period += 1
        account = self._open_account(job.workspace, job.share)
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
        self._note_length(account)
        self._purge()

    def pop(self) -> entries.Entry | None:
        """Removes the next job and charges its estimate; None when empty."""
        account = self._smallest()
        if account is None:
            return None
        _, _, entry = heapq.heappop(account.jobs)
        while not entry.is_waiting:
            _, _, entry = heapq.heappop(account.jobs)
        # Counted as running first: an idle account would be removed.
        account.running += 1
        self.discard(entry)
        self.charge(entry, entry.job.cost)
        return entry

    def run_at_once(self, entry: entries.Entry) -> None:
        """Charges a job that is granted without having waited."""
        job = entry.job
        account = self._open_account(job.workspace, job.share)
        entry.account = account
        account.running += 1
        self.charge(entry, job.cost)
        self._purge()

    def discard(self, entry: entries.Entry) -> None:
        """Takes a job out of the backlog; call it once, while it waits."""
        account = entry.account
        account.backlog -= 1
        account.units -= entry.job.cost
        self.waiting -= 1
        self.units -= entry.job.cost
        if account.backlog:
            if len(account.jobs) > 2 * account.backlog + SLACK:
                account.jobs = [i for i in account.jobs if i[2].is_waiting]
                heapq.heapify(account.jobs)
            return
        account.units = 0.0
        account.key = NO_KEY
        account.jobs.clear()
        self.shares -= account.share
        if not self.waiting:
            self.units = self.shares = 0.0
        self._rest(account)

    def charge(self, entry: entries.Entry, units: float) -> None:
        """Corrects the charge of a running job; units may be negative."""
        account = entry.account
        entry.charged += units
        account.in_flight += units
        account.counter += units / account.share
        if account.backlog and account.counter < account.key:
            self._set_key(account)

    def finish(self, entry: entries.Entry) -> None:
        """Ends a running job."""
        account = entry.account
        account.running -= 1
        account.in_flight -= entry.charged
        self._rest(account)
        self._purge()

    def charge_remote(self, workspace: str, units: float) -> None:
        """Charges service by a peer, if the workspace has an account."""
        account = self.accounts.get(workspace)
        if account is not None:
            account.counter += units / account.share

    def longest(self) -> tuple[float, Account] | None:
        """Returns the longest backlog divided by share, and its account."""
        heap = self._lengths
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

    def last_of(self, account: Account) -> entries.Entry:
        """Returns a waiting job that no other one of the account waits for.

        The last item of a heap is a leaf, so removing it costs nothing; with
        equal relative deadlines it is the newest job.
        """
        while not account.jobs[-1][2].is_waiting:
            account.jobs.pop()
        return account.jobs[-1][2]

    def units_ahead(self, workspace: str, share: float, extra: float) -> float:
        """Returns the units that are served before a new job.

        Args:
            workspace: Workspace of the new job.
            share: Its share.
            extra: Units of the workspace on their way to this queue.

        Returns:
            The workspace's own units, times the whole service for one unit of
            its service; at most all units that wait.
        """
        account = self.accounts.get(workspace)
        own = extra + (account.units if account is not None else 0.0)
        is_active = account is not None and account.backlog
        shares = self.shares if is_active else self.shares + share
        return min(self.units + extra, own * shares / share)

    def _open_account(self, name: str, share: float) -> Account:
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

    def _rest(self, account: Account) -> None:
        if not account.is_idle:
            return
        if self.accounts.get(account.name) is not account:
            return
        if not self.waiting or account.counter <= self.virtual_time:
            del self.accounts[account.name]
        else:
            item = (account.counter, next(self._tie), account)
            heapq.heappush(self._idle, item)

    def _purge(self) -> None:
        for _ in range(PURGED_PER_DECISION):
            if not self._idle:
                return
            counter, _, account = self._idle[0]
            is_over = not self.waiting or account.period != self._period
            if counter > self.virtual_time and not is_over:
                return
            heapq.heappop(self._idle)
            if account.is_idle and self.accounts.get(account.name) is account:
                if account.counter > self.virtual_time and not is_over:
                    item = (account.counter, next(self._tie), account)
                    heapq.heappush(self._idle, item)
                else:
                    del self.accounts[account.name]

    def _set_key(self, account: Account) -> None:
        account.key = account.counter
        item = (account.key, next(self._tie), account)
        heapq.heappush(self._active, item)
        if len(self._active) > 2 * self.waiting + SLACK:
            self._active = [i for i in self._active if i[0] == i[2].key]
            heapq.heapify(self._active)

    def _smallest(self) -> Account | None:
        heap = self._active
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

    def _note_length(self, account: Account) -> None:
        item = (-account.units / account.share, next(self._tie), account)
        heapq.heappush(self._lengths, item)
        if len(self._lengths) > 2 * self.waiting + SLACK:
            longest: dict[str, tuple[float, int, Account]] = {}
            for key, tie, owner in self._lengths:
                if owner.backlog:
                    found = longest.get(owner.name, (math.inf, 0, owner))
                    longest[owner.name] = min(found, (key, tie, owner))
            self._lengths = list(longest.values())
            heapq.heapify(self._lengths)
