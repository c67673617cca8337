"""Tests of tasks that last as long as the process."""

import eventlet
import testtools

from savoryspar import tasks


class TasksTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.patch(tasks, "RESTART_DELAY_S", 0.01)
        self.runs = []

    def run_task(self, *outcomes):
        """Runs a task that raises each of the outcomes and then returns."""
        remaining = [*outcomes]

        def run(*args):
            self.runs.append(args)
            if remaining:
                raise remaining.pop(0)

        return tasks.spawn_task("test", run, 1, 2)

    def test_task_runs_again_after_any_error(self):
        """Guards against a task that one unexpected error ends for ever.

        The thread that follows the store ended with an error while it asked
        peers after the store had failed.
        """
        errors = (
            *(ValueError("x"), RecursionError(), OverflowError(), KeyError(1)),
            *(AssertionError(), eventlet.Timeout(None)),
        )
        task = self.run_task(*errors)
        with eventlet.Timeout(5.0):
            task.wait()
        self.assertEqual([(1, 2)] * (len(errors) + 1), self.runs)

    def test_killed_task_is_not_restarted(self):
        """Guards against an accept loop that goes on after the stop."""
        task = tasks.spawn_task("test", eventlet.sleep, 60.0)
        eventlet.sleep(0)
        task.kill()
        eventlet.sleep(0.05)
        self.assertTrue(task.dead)
