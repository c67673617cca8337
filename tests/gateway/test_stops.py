"""Tests of planned stops with processes, callers and backend servers."""

import itertools
import random
import signal
import time

import eventlet

from tests.gateway import node_case, stop_load


class StopCase(node_case.NodeCase):
    """Stops the first VM under load; callers go on until its process ends.

    Attributes:
        callers: The callers and their records.
        stopped_at: When SIGTERM was sent, in monotonic seconds.
        ends_at: When the grace period ends.
    """

    platform_class = stop_load.WorkPlatform
    grace_s = 6

    def setUp(self):
        super().setUp()
        self.callers = stop_load.Callers()
        self.pool = eventlet.GreenPool(500)
        self.port = self.ports["callers"]

    def send(self, path, **options):
        """Sends a request on a new connection, without waiting."""
        self.pool.spawn_n(self._send, path, options)

    def _send(self, path, options):
        sock = self.callers.connect(self.port)
        self.callers.request(sock, path, **options)
        if sock is not None:
            sock.close()

    def terminate(self):
        self.stopped_at = time.monotonic()
        self.ends_at = self.stopped_at + self.grace_s
        self.process.send_signal(signal.SIGTERM)

    def sleep_until(self, after_s):
        """Sleeps until a time in seconds after SIGTERM."""
        eventlet.sleep(max(0.0, self.stopped_at + after_s - time.monotonic()))

    def finish(self):
        """Waits for the process and for all callers."""
        self.finish_process()
        self.pool.waitall()

    def finish_process(self):
        """Waits for the process, which must end within the grace time."""
        with eventlet.Timeout(self.grace_s + 4.0):
            while self.process.poll() is None:
                eventlet.sleep(0.01)
        took_s = time.monotonic() - self.stopped_at
        self.assertEqual(0, self.process.returncode)
        self.assertLess(took_s, self.grace_s)

    def check(self):
        """Checks that no rule was broken and all that was taken succeeded."""
        calls, runs = self.callers.calls, self.platform.runs
        self.assertEqual(
            [], stop_load.faults(calls, runs, self.stopped_at, self.ends_at)
        )
        self.assertEqual([], stop_load.cut_work(calls, runs, self.stopped_at))


class LateRequestTest(StopCase):
    def test_request_taken_after_the_drain_gets_an_answer(self):
        """Guards against a request that the end of the process cuts off.

        Once no request ran any more, a stopping VM waited for its connections
        only; requests that came on them were passed on, and at the end of the
        grace time their connections were closed without an answer.
        """
        self.terminate()
        self.sleep_until(2.15)
        for path in ("/order/20000", "/lookup/20000", "/order/20000"):
            sock = self.callers.connect(self.port)
            self.pool.spawn_n(self._send_later, sock, path)
        self.finish()
        calls, runs = self.callers.calls, self.platform.runs
        self.assertEqual(
            [], stop_load.faults(calls, runs, self.stopped_at, self.ends_at)
        )
        # The unsafe ones are not passed on that late.
        ran = [call.path for call in calls if call.attempt_id in runs]
        self.assertEqual(["/lookup/20000"], ran)

    def _send_later(self, sock, path):
        self.sleep_until(3.5)
        self.callers.request(sock, path)


class ShortGraceTest(StopCase):
    grace_s = 2

    def test_request_is_answered_within_a_short_grace_time(self):
        """Guards against a stop that waits longer than the grace time.

        The wait for the balancer alone took 2.3 s, so a process with a grace
        time of 2 s was killed in it, with its requests unanswered.
        """
        self.send("/order/9000")
        eventlet.sleep(0.3)
        self.terminate()
        self.finish()
        self.assertEqual(
            {("order", "502", "whole"): 1},
            stop_load.count(self.callers.calls),
        )


class LongStreamTest(StopCase):
    grace_s = 3

    def test_stream_that_is_longer_than_others_is_relayed_to_the_end(self):
        """Guards against a stream that is broken off earlier than needed.

        Its deadline was moved before the end of the process, so the engine
        stopped its work within the first five sixths of the grace time.
        """
        for _ in range(6):
            self.send("/chat/300")
        self.pool.waitall()
        self.terminate()
        self.sleep_until(0.3)
        self.send("/chat/9000")
        self.finish()
        calls, runs = self.callers.calls, self.platform.runs
        self.assertEqual("200", calls[-1].status)
        self.assertEqual(
            [], stop_load.faults(calls, runs, self.stopped_at, self.ends_at)
        )


class AdmissionTest(StopCase):
    def keep_busy(self):
        """Sends a request that runs almost until the end of the grace time."""
        self.send("/lookup/5300")
        eventlet.sleep(0.2)

    def test_late_unsafe_request_is_refused_unless_its_deadline_fits(self):
        """Guards against unsafe requests that run and get no good answer.

        A stopping VM took plain requests until three objectives before its
        end, however long their work took and their callers waited.
        """
        self.keep_busy()
        self.terminate()
        for after_s in (0.5, 1.5, 2.5, 3.5, 4.0):
            self.sleep_until(after_s)
            self.send("/order/3000", deadline_s=9.0)
            self.send("/order/100", deadline_s=1.0)
        self.finish()
        self.check()
        served = [c for c in self.callers.calls if c.path == "/order/100"]
        self.assertEqual(["200"] * 5, [call.status for call in served])

    def test_stream_is_taken_only_if_it_ends_in_time(self):
        """Guards against streams that break off at the end of the process.

        Streams were taken for 2.5 s after SIGTERM, however long those before
        them had lasted.
        """
        for path in ("/chat/4500", "/resume/500", "/staged/4500"):
            for _ in range(20):
                self.send(path)
        self.pool.waitall()
        self.callers.calls.clear()
        self.keep_busy()
        self.terminate()
        for after_s in (0.2, 1.5, 2.0, 2.4, 3.5):
            self.sleep_until(after_s)
            for path in ("/chat/4500", "/resume/500", "/staged/4500"):
                self.send(path)
        self.finish()
        self.check()
        counts = stop_load.count(self.callers.calls)
        self.assertEqual(1, counts["chat", "200", "whole"], counts)
        self.assertGreaterEqual(counts["resume", "200", "whole"], 4, counts)


class StopTest(StopCase):
    WORK_MS = {
        "order": (5, 100, 1000, 3000),
        "lookup": (5, 100, 1000, 3000),
        "chat": (5, 100, 2500),
        "resume": (5, 4000),
        "staged": (5, 6000),
    }

    def test_mixed_load_through_the_whole_grace_time(self):
        """Guards against any kind of request that a stop cuts off."""
        rng = random.Random(1)
        for _ in range(120):
            self._send_random(rng)
        self.pool.waitall()
        self._load(rng, 1.0)
        self.terminate()
        while self.process.poll() is None:
            self._load(rng, 0.1)
        self.finish()
        self.check()

    def _load(self, rng, duration_s):
        until = time.monotonic() + duration_s
        while time.monotonic() < until:
            self._send_random(rng)
            eventlet.sleep(0.03)

    def _send_random(self, rng):
        path = rng.choice([*self.WORK_MS])
        work_ms = rng.choice(self.WORK_MS[path])
        deadline_s = 9.0
        if path in ("order", "lookup"):
            deadline_s = rng.choice((1.5, 4.0, 9.0))
        self.send(f"/{path}/{work_ms}", deadline_s=deadline_s)

    def test_bodies_that_arrive_in_the_grace_time(self):
        """Guards against requests that are judged before they are whole."""
        self.send("/lookup/5000")
        for delay_s in (1.0, 2.5, 4.0, 5.0, 5.5, 5.9):
            for path in ("/order/100", "/chat/100"):
                self.send(path, body_delay_s=delay_s)
                self.send(path, body_delay_s=delay_s, deadline_s=delay_s + 1.0)
        self.send("/order/100", body=None)
        waiting = {"Expect": "100-continue"}
        self.send("/order/100", body_delay_s=2.0, deadline_s=3.0, **waiting)
        eventlet.sleep(0.3)
        self.terminate()
        self.finish()
        self.check()
        counts = stop_load.count(self.callers.calls)
        # Those whose deadline is before the end are served.
        self.assertGreaterEqual(counts["order", "200", "whole"], 4, counts)

    def test_kept_connections(self):
        """Guards against requests that cross the close of a connection."""
        for number in range(60):
            self.pool.spawn_n(self._keep_connection, 0.02 + 0.013 * number)
        eventlet.sleep(0.5)
        self.terminate()
        pipelined = [
            self.pool.spawn(self._pipeline, 0.05 * number)
            for number in range(60)
        ]
        self.finish()
        self.check()
        # Only the first of the pipelined requests is answered, and says that
        # the connection ends, so the second must not run.
        runs = self.platform.runs
        self.assertEqual([], [t.wait() for t in pipelined if t.wait() in runs])

    def _keep_connection(self, interval_s):
        sock = self.callers.connect(self.port)
        while sock is not None:
            call = self.callers.request(sock, "/order/5", deadline_s=1.0)
            if not call.is_complete:
                return
            if call.fields.get("connection") == "close":
                sock.close()
                sock = self.callers.connect(self.port)
            eventlet.sleep(interval_s)

    def _pipeline(self, delay_s):
        """Sends two requests at once on a new connection.

        Returns:
            The attempt ID of the second, empty if the answer to the first does
            not close the connection.
        """
        eventlet.sleep(delay_s)
        sock = self.callers.connect(self.port)
        if sock is None:
            return ""
        second = self.callers.new_call("/order/100", 1.0)
        first = self.callers.request(
            sock,
            "/order/100",
            deadline_s=1.0,
            next_request=self.callers.head(second, 4) + b"\r\nbody",
        )
        # Before the VM handles SIGTERM, connections are kept.
        is_closing = first.fields.get("connection") == "close"
        return second.attempt_id if is_closing else ""

    def test_signals_and_settings_in_the_grace_time(self):
        """Guards against a second signal that ends or shortens a stop."""
        path = self.folder / "entry-0.ini"
        text = path.read_text("utf-8")
        changes = (
            text.replace("grace_s = 6", "grace_s = 2"),
            "[gateway\n",
            text.replace("grace_s = 6", "grace_s = x"),
            text,
        )
        self.process.send_signal(signal.SIGHUP)
        for ms in (500, 1500, 3000, 5000):
            self.send(f"/order/{ms}")
            self.send(f"/chat/{ms}")
        eventlet.sleep(0.3)
        self.terminate()
        numbers = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGTERM)
        for index, number in enumerate(numbers):
            self.sleep_until(0.01 + 1.1 * index)
            self.process.send_signal(number)
            path.write_text(changes[index], "utf-8")
            self.send("/order/100", deadline_s=1.0)
        self.finish()
        self.check()
        counts = stop_load.count(self.callers.calls)
        self.assertEqual(8, counts["order", "200", "whole"], counts)
        self.assertEqual(4, counts["chat", "200", "whole"], counts)

    def test_configurations_beside_a_stop(self):
        """Guards against requests cut off by a route's end during a stop."""
        rest = stop_load.ROUTES[1:]
        for ms in (1000, 3000, 4500):
            self.send(f"/order/{ms}")
            self.send(f"/chat/{ms}")
        eventlet.sleep(0.3)
        self.platform.publish(rest)
        self.terminate()
        for after_s in (0.02, 0.5, 1.0, 2.0, 3.0):
            self.sleep_until(after_s)
            self.send("/order/100", deadline_s=1.0)
            self.send("/lookup/100", deadline_s=1.0)
            self.platform.publish(stop_load.ROUTES if after_s == 1.0 else rest)
        self.finish()
        self.check()
        counts = stop_load.count(self.callers.calls)
        self.assertEqual(3, counts["chat", "200", "whole"], counts)
        self.assertEqual(5, counts["lookup", "200", "whole"], counts)


class FleetStopTest(StopCase):
    vm_count = 3

    def setUp(self):
        super().setUp()
        # Streams of a route whose durations are not known are refused.
        for number in range(3):
            self.port = self.vm_ports[number]["callers"]
            for path in ("/chat/300", "/resume/300", "/staged/300"):
                for _ in range(6):
                    self.send(path)
        self.pool.waitall()
        self.callers.calls.clear()

    def test_stop_of_each_vm_in_turn(self):
        """Guards against stages and streams lost with their gatherer.

        Callers that are refused go to another VM, and all are served.
        """
        load = eventlet.spawn(self._load)
        for number in (0, 1):
            self.process = self.processes[number]
            self.terminate()
            eventlet.sleep(0.5)
            self.finish_process()
        self.is_over = True
        load.wait()
        self.pool.waitall()
        self.check()
        self.assertEqual([], self.unserved)

    def _load(self):
        self.is_over = False
        self.unserved = []
        for number in itertools.count():
            if self.is_over:
                return
            path = [*StopTest.WORK_MS][number % 5]
            self.pool.spawn_n(self._retry, f"/{path}/300", number)
            eventlet.sleep(0.04)

    def _retry(self, path, number):
        """Sends a request, and again to the other VMs while it is refused."""
        for index in range(3):
            port = self.vm_ports[(number + index) % 3]["callers"]
            sock = self.callers.connect(port)
            call = self.callers.request(sock, path, deadline_s=4.0)
            if call.status not in ("503", ""):
                break
        if call.status != "200":
            self.unserved.append(call)

    def test_stop_beside_a_silent_store_and_peer(self):
        """Guards against a stop that waits for somebody who does not answer."""
        for ms in (500, 2000, 4500):
            self.send(f"/order/{ms}")
            self.send(f"/chat/{ms}")
        self.send("/staged/2000")
        eventlet.sleep(0.4)
        self.platform.store.delay_s = 60.0
        self.processes[1].send_signal(signal.SIGSTOP)
        self.addCleanup(self.processes[1].send_signal, signal.SIGCONT)
        self.port = self.ports["callers"]
        self.terminate()
        for after_s in (0.5, 1.0, 2.0):
            self.sleep_until(after_s)
            for path in ("/order/100", "/staged/100", "/lookup/100"):
                self.send(path, deadline_s=1.5)
        self.finish()
        self.check()
