"""Tests of grants, deadlines, admission and the bounded queue."""

import time

import eventlet
import testtools

from savoryspar import conf, scheduling, sheet
from savoryspar.scheduling import entries

FLOORS = (
    "table,name,field,value\n"
    "rank,standard,floor_percent,20\n"
    "rank,bulk,floor_percent,10\n"
)
POOL_S = 1.0
"""Time for which every job holds its slot, in seconds."""


def new_job(
    workspace="a", rank="standard", cost=1.0, deadline_at=1000.0, share=1.0,
    pool="p", remaining_stages=(), is_started=False,
):  # fmt: skip
    return scheduling.Job(
        "r", workspace, share, rank, pool, cost, deadline_at, "",
        remaining_stages, is_started,
    )  # fmt: skip


def new_scheduler(slots=2, **settings):
    scheduler = scheduling.new_scheduler(
        lambda pool, now: slots, conf.default_section("scheduling", **settings)
    )
    scheduler.configure(sheet.parse_csv(FLOORS, 1), 0.0)
    return scheduler


class Simulation:
    """Runs jobs of fixed duration on a scheduler in simulated time."""

    def __init__(self, scheduler, now=0.0):
        self.scheduler = scheduler
        self.now = now
        self.running = []
        self.submitted = []

    def submit(self, job):
        entry = self.scheduler.submit(job, self.now)
        self.submitted.append(entry)
        self._collect()
        return entry

    def run_until(self, until):
        while self.running and self.running[0].granted_at + POOL_S <= until:
            entry = self.running.pop(0)
            self.now = max(self.now, entry.granted_at + POOL_S)
            self.scheduler.release(entry, self.now, is_complete=True)
            self._collect()
        self.now = until

    def _collect(self):
        granted = [
            e for e in self.submitted if e.status is entries.Status.GRANTED
        ]
        self.submitted = [e for e in self.submitted if e.is_waiting]
        self.running += granted
        self.running.sort(key=lambda entry: entry.granted_at)


class RankTest(testtools.TestCase):
    def serve(self, scheduler, submitted, now):
        """Releases the only slot and returns the job that is granted next."""
        running = next(
            e for e in submitted if e.status is entries.Status.GRANTED
        )
        scheduler.release(running, now, is_complete=False)
        submitted.remove(running)
        return next(
            e.job for e in submitted if e.status is entries.Status.GRANTED
        )

    def served(self, *ranks, rounds=200):
        """Keeps the ranks backlogged; returns the fraction served of each."""
        scheduler = new_scheduler(1)
        submitted = [scheduler.submit(new_job(), 0.0)]
        submitted += [
            scheduler.submit(new_job(rank=rank), 0.0) for rank in ranks * 3
        ]
        counts = dict.fromkeys(ranks, 0)
        for number in range(rounds):
            rank = self.serve(scheduler, submitted, number * 0.1).rank
            counts[rank] += 1
            submitted.append(scheduler.submit(new_job(rank=rank), number * 0.1))
        return {rank: count / rounds for rank, count in counts.items()}

    def test_floors_hold_in_a_flood_of_urgent_work(self):
        """A flood of urgent work must not starve the other ranks."""
        parts = self.served("urgent", "standard", "bulk")
        self.assertGreaterEqual(parts["standard"], 0.19)
        self.assertGreaterEqual(parts["bulk"], 0.095)
        self.assertGreaterEqual(parts["urgent"], 0.65)

    def test_urgent_is_not_held_back_by_a_flood_of_bulk(self):
        """A rank whose floor is met must not be served before urgent work."""
        self.assertLessEqual(self.served("urgent", "bulk")["bulk"], 0.12)

    def test_service_without_contention_does_not_count_towards_a_floor(self):
        """A flood of urgent work must not starve a rank served just before."""
        scheduler = new_scheduler(1)
        submitted = [scheduler.submit(new_job(), 0.0) for _ in range(220)]
        for number in range(100):
            self.serve(scheduler, submitted, number * 0.01)
        for _ in range(30):
            submitted.append(scheduler.submit(new_job(rank="urgent"), 1.0))
        ranks = [self.serve(scheduler, submitted, 1.0).rank for _ in range(20)]
        self.assertGreaterEqual(ranks.count("standard"), 4)

    def test_idle_rank_earns_no_credit(self):
        """Bulk work after an idle time must not block urgent work."""
        scheduler = new_scheduler(1)
        submitted = [scheduler.submit(new_job(rank="urgent"), 0.0)]
        for number in range(100):
            now = number * 0.1
            submitted.append(scheduler.submit(new_job(rank="urgent"), now))
            self.serve(scheduler, submitted, now)
        for rank in ("urgent", "bulk") * 5:
            submitted.append(scheduler.submit(new_job(rank=rank), 10.0))
        ranks = [self.serve(scheduler, submitted, 10.0).rank for _ in range(5)]
        self.assertLessEqual(ranks.count("bulk"), 1)


class AdmissionTest(testtools.TestCase):
    def new_warm(self, slots=2, **settings):
        """Returns a simulation with latency samples of ``POOL_S``."""
        simulation = Simulation(new_scheduler(slots, **settings))
        for _ in range(10 * slots):
            simulation.submit(new_job(deadline_at=1e9))
            simulation.run_until(simulation.now + POOL_S)
        simulation.run_until(simulation.now + 10.0)
        return simulation

    def test_rejected_immediately_with_a_sufficient_retry_delay(self):
        """A retry after the advised delay must succeed without new load."""
        simulation = self.new_warm()
        with testtools.ExpectedException(scheduling.AdmissionError):
            for _ in range(100):
                simulation.submit(new_job(deadline_at=simulation.now + 5.0))
        exc = self.assertRaises(
            scheduling.AdmissionError,
            simulation.submit,
            new_job(deadline_at=simulation.now + 5.0),
        )
        waiting = simulation.scheduler.waiting("p")
        self.assertGreaterEqual(waiting, 6)
        self.assertLessEqual(exc.retry_after_s, 3.0)
        simulation.run_until(simulation.now + exc.retry_after_s)
        simulation.submit(new_job(deadline_at=simulation.now + 5.0))

    def test_burst_on_a_new_process_is_not_rejected(self):
        """A process without measured rates must not reject feasible jobs."""
        scheduler = new_scheduler(slots=24)
        remaining_stages = (scheduling.RemainingStage("engines", "m", 64.0),)
        entries_of_burst = [
            scheduler.submit(
                new_job(deadline_at=8.0, remaining_stages=remaining_stages), 0.0
            )
            for _ in range(24)
        ]
        self.assertEqual(
            [entries.Status.GRANTED] * 24, [e.status for e in entries_of_burst]
        )

    def test_rejected_before_the_first_stage_because_of_a_later_one(self):
        """No stage may run when the wait for a later one is too long."""
        simulation = self.new_warm()
        for _ in range(10):
            simulation.submit(new_job(deadline_at=simulation.now + 1000.0))
        remaining_stages = (scheduling.RemainingStage("p", "", 1.0),)
        job = new_job(
            pool="q",
            remaining_stages=remaining_stages,
            deadline_at=simulation.now + 3.0,
        )
        self.assertRaises(scheduling.AdmissionError, simulation.submit, job)

    def test_started_request_is_not_rejected_on_expected_wait(self):
        """Completed stages must not be wasted because of a wait estimate."""
        simulation = self.new_warm()
        for _ in range(10):
            simulation.submit(new_job(deadline_at=simulation.now + 1000.0))
        job = new_job(deadline_at=simulation.now + 3.0, is_started=True)
        self.assertTrue(simulation.submit(job).is_waiting)

    def test_latest_start_reserves_time_for_remaining_stages(self):
        """A job granted after its latest start would miss its deadline."""
        simulation = self.new_warm()
        for _ in range(2):
            simulation.submit(new_job(deadline_at=simulation.now + 1000.0))
        remaining_stages = (scheduling.RemainingStage("p", "", 1.0),)
        job = new_job(
            deadline_at=simulation.now + 2.9,
            remaining_stages=remaining_stages,
            is_started=True,
        )
        entry = simulation.submit(job)
        simulation.run_until(simulation.now + 2.0)
        self.assertIs(entries.Status.DROPPED, entry.status)
        self.assertGreater(entry.error.retry_after_s, 0.0)

    def test_admission_none_admits_every_job(self):
        """The baseline without admission control must not reject jobs."""
        simulation = self.new_warm(admission="none", max_queue="1")
        for _ in range(20):
            simulation.submit(new_job(deadline_at=simulation.now + 2.0))
        self.assertEqual(18, simulation.scheduler.waiting("p"))

    def test_job_for_a_pool_without_slots_is_rejected_immediately(self):
        """A caller must not wait for its deadline if a pool has no slots."""
        scheduler = new_scheduler(0)
        self.assertRaises(
            scheduling.AdmissionError, scheduler.submit, new_job(), 0.0
        )


class BoundedQueueTest(testtools.TestCase):
    def statuses(self, submitted):
        return {
            name: sum(
                e.is_waiting for e in submitted if e.job.workspace == name
            )
            for name in {e.job.workspace for e in submitted}
        }

    def fill(self, jobs, max_queue=10):
        scheduler = new_scheduler(1, max_queue=str(max_queue))
        scheduler.submit(new_job("running"), 0.0)
        return scheduler, [scheduler.submit(job, 0.0) for job in jobs]

    def test_flood_of_one_workspace_drops_its_own_jobs(self):
        """A flood by one workspace must not drop the jobs of another."""
        jobs = [new_job("small")] * 2 + [new_job("flood")] * 40
        _, submitted = self.fill([*jobs, new_job("late")])
        self.assertEqual(
            {"small": 2, "flood": 7, "late": 1}, self.statuses(submitted)
        )

    def test_backlog_limit_is_proportional_to_the_share(self):
        """A workspace with three times the share may queue thrice the jobs."""
        jobs = [new_job("x", share=3.0), new_job("y", share=1.0)] * 40
        _, submitted = self.fill(jobs, max_queue=40)
        self.assertEqual({"x": 30, "y": 10}, self.statuses(submitted))

    def test_flood_of_bulk_does_not_drop_other_ranks(self):
        """Urgent jobs must be enqueued when the queue is full of bulk work."""
        jobs = [new_job("b", "bulk")] * 40 + [new_job("u", "urgent")] * 5
        _, submitted = self.fill(jobs)
        self.assertEqual(5, self.statuses(submitted)["u"])

    def test_flood_of_urgent_work_leaves_room_for_bulk(self):
        """Bulk jobs must stay queued, or the floor of bulk has no effect."""
        jobs = [new_job("u", "urgent")] * 40 + [new_job("b", "bulk")] * 40
        _, submitted = self.fill(jobs)
        self.assertGreaterEqual(self.statuses(submitted)["b"], 1)


class AcquireTest(testtools.TestCase):
    """Waits in green threads, like an entry process."""

    def test_disconnected_caller_leaks_no_slot(self):
        """A killed waiter must not stay queued or leak a slot."""
        scheduler = new_scheduler(1)
        now = time.monotonic()
        first = scheduler.acquire(new_job(deadline_at=now + 60.0), now)
        waiter = eventlet.spawn(
            scheduler.acquire, new_job(deadline_at=now + 60.0), now
        )
        eventlet.sleep(0)
        self.assertEqual(1, scheduler.waiting("p"))
        # The waiter is killed after its grant but before it resumes.
        first.release(now)
        waiter.kill()
        eventlet.sleep(0)
        second = scheduler.acquire(new_job(deadline_at=now + 60.0), now)
        second.release(now)
        self.assertEqual(0, scheduler.waiting("p"))

    def test_waiter_is_dropped_at_its_latest_start(self):
        """The caller must get its error before the deadline itself."""
        scheduler = new_scheduler(1)
        now = time.monotonic()
        for _ in range(20):
            scheduler.estimates.observe("p", "", "standard", 1.0, 30.0)
        scheduler.acquire(new_job(deadline_at=now + 1000.0), now)
        job = new_job(deadline_at=now + 33.0, is_started=True)
        with eventlet.Timeout(10.0):
            self.assertRaises(
                scheduling.AdmissionError, scheduler.acquire, job, now
            )
