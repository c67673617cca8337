"""Tests of gathered calls, against a scripted stage server."""

import json
import time

import eventlet
import testtools

from savoryspar import backends, fleet, platform, stages
from savoryspar.gateway import gathering
from tests.backends import test_connections as scripted
from tests.gateway import event_logs

POOL = fleet.StagePool(1, 2, 8, 0.01, 0.001, 36e6, 4.0)


def answer(entries):
    body = json.dumps({"entries": entries}).encode()
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
    return scripted.send(head + body)


class GathererTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.entries = []
        self.ended = []
        self.gatherer = gathering.new_gatherer(
            POOL,
            lambda: self.entries,
            backends.new_connections(platform.answer_facts, time.monotonic),
            event_logs.new_event_log(self),
            time.monotonic,
        )

    def add_server(self, *steps):
        server = scripted.ScriptedServer(*steps)
        self.entries.append(
            fleet.BackendEntry(
                f"i-{len(self.entries)}",
                "p",
                server.address,
                "z",
                1,
                False,
                0,
                1,
            )
        )
        return server

    def submit(self, name, pieces=1):
        now = time.monotonic()
        group = stages.Group(
            name, "p", 0, pieces, "k", (), 0, now + 1.0, now + 3.0, 1000
        )
        offer = self.gatherer.submit(
            group, lambda *end: self.ended.append(end), now
        )
        return group, offer

    def wait(self, count):
        with eventlet.Timeout(3.0):
            while len(self.ended) < count:
                eventlet.sleep(0.005)
        return [(g.request_id, failure) for g, failure in self.ended]

    def test_results_reach_their_own_groups(self):
        """Guards against a result handed to another request."""
        self.add_server(
            answer([{"handle": "h1"}, {"handle": "h2"}, {"handle": "h3"}])
        )
        first, _ = self.submit("r1")
        second, _ = self.submit("r2", 2)
        self.assertEqual([("r1", None), ("r2", None)], self.wait(2))
        self.assertEqual(
            (["h1"], ["h2", "h3"]), (first.handles(), second.handles())
        )

    def test_pool_without_servers_refuses_at_once(self):
        """Guards against pieces that wait where no server is."""
        _, offer = self.submit("r1")
        self.assertIsNotNone(offer.refused_s)

    def test_last_server_that_fails_gives_pieces_back(self):
        """Guards against pieces that wait for a server that is gone.

        A dossier waited 4 s in a zone whose only server had left (gesto-callado
        scale-1).
        """
        self.add_server(scripted.send_and_end(b""))
        self.submit("r1")
        self.assertEqual([("r1", stages.Failure.NO_SERVER)], self.wait(1))

    def test_failed_server_is_tried_again(self):
        """Guards against a pool refused for good after one failure."""
        self.add_server(scripted.send_and_end(b""), answer([{"handle": "h"}]))
        self.submit("r1")
        self.wait(1)
        self.assertIsNotNone(self.submit("r2")[1].refused_s)
        eventlet.sleep(gathering.FIRST_BACKOFF_S + 0.1)
        self.submit("r3")
        self.assertEqual(("r3", None), self.wait(2)[1])

    def test_server_that_wants_no_work_is_left_alone(self):
        """Guards against a call every 50 ms to a server that asked for time.

        46 calls reached one in the 2.5 s in which at most two may.
        """
        server = self.add_server(
            scripted.send(
                b"HTTP/1.1 503 Busy\r\nRetry-After: 0.6\r\n"
                b"Savoryspar-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
            ),
            answer([{"handle": "h"}]),
        )
        self.submit("r1")
        self.assertEqual([("r1", stages.Failure.NO_SERVER)], self.wait(1))
        _, offer = self.submit("r2")
        self.assertLess(0.3, offer.refused_s)
        self.assertLessEqual(offer.refused_s, 0.6)
        self.assertEqual(1, len(server.requests))
        eventlet.sleep(offer.refused_s + 0.05)
        self.submit("r3")
        self.assertEqual(("r3", None), self.wait(2)[1])

    def test_groups_of_a_server_that_leaves_go_elsewhere(self):
        """Guards against pieces that wait for a server that is leaving."""
        self.add_server(
            scripted.send(
                b"HTTP/1.1 503 Leaving\r\nServer-Leaving: 1\r\n"
                b"Savoryspar-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
            ),
        )
        self.submit("r1")
        self.assertEqual([("r1", stages.Failure.NO_SERVER)], self.wait(1))
        self.assertIsNotNone(self.submit("r2")[1].refused_s)

    def test_refusal_for_memory_does_not_fail_a_group(self):
        """Guards against requests refused because memory was short once."""
        self.add_server(
            answer([{"reason": "room"}]),
            answer([{"reason": "room"}]),
            answer([{"reason": "room"}]),
            answer([{"reason": "room"}]),
            answer([{"handle": "h"}]),
        )
        self.submit("r1")
        self.assertEqual([("r1", None)], self.wait(1))

    def test_input_that_is_gone_fails_the_group(self):
        """Guards against a piece retried without its inputs."""
        self.add_server(answer([{"reason": "gone"}]))
        self.submit("r1")
        self.assertEqual([("r1", stages.Failure.INPUT_GONE)], self.wait(1))

    def test_results_of_a_cancelled_request_are_freed(self):
        """Guards against memory kept for a caller that hung up."""
        server = self.add_server(answer([{"handle": "h1"}]), answer([]))
        self.submit("r1")
        eventlet.sleep(0)
        self.gatherer.cancel("r1")
        with eventlet.Timeout(3.0):
            while len(server.requests) < 2:
                eventlet.sleep(0.005)
        self.assertIn(b"POST /-/stage-free", server.requests[1])

    def test_second_copy_of_an_answer_is_no_answer(self):
        """Guards against pieces of one request handed to another.

        Answers to stage calls name no request. A server sent one twice, the
        second time where the answer to the next call was due.
        """
        server = self.add_server(
            answer([{"handle": "h1"}]),
            answer([{"handle": "h1"}]),
            answer([{"handle": "h2"}]),
        )
        first, _ = self.submit("r1")
        self.wait(1)
        second, _ = self.submit("r2")
        self.wait(2)
        self.assertEqual(["h1"], first.handles())
        # The only server failed, so the asker goes elsewhere.
        self.assertEqual([], second.handles())
        # The answer that was due would come on the old connection.
        eventlet.sleep(gathering.FIRST_BACKOFF_S + 0.05)
        third, _ = self.submit("r3")
        self.wait(3)
        self.assertEqual(["h2"], third.handles())
        self.assertEqual(2, server.connections)

    def test_one_result_for_two_pieces_is_no_answer(self):
        """Guards against a piece that gets another piece's result."""
        self.add_server(answer([{"handle": "h1"}, {"handle": "h1"}]))
        group, _ = self.submit("r1", 2)
        self.assertEqual([("r1", stages.Failure.NO_SERVER)], self.wait(1))
        self.assertEqual([], group.handles())

    def test_groups_without_results_are_unfinished(self):
        """Guards against a planned stop that drops other VMs' pieces."""

        def slow(conn):
            eventlet.sleep(0.2)
            answer([{"handle": "h1"}])(conn)

        self.add_server(slow)
        self.submit("r1")
        eventlet.sleep(0.05)
        self.assertEqual(1, self.gatherer.unfinished)
        self.wait(1)
        self.assertEqual(0, self.gatherer.unfinished)

    def test_results_of_a_gatherer_before_are_freed(self):
        """Guards against memory taken until it lapses after a roll.

        The VM that had the results made is gone; the one that gathers in its
        place frees them at the server that the handle names.
        """
        freed = answer([])
        server = self.add_server(answer([{"handle": "h1"}]), freed)
        self.submit("r1")
        self.wait(1)
        self.gatherer.free([f"{server.address}/old", "1.2.3.4:5/gone"])
        eventlet.sleep(gathering.IDLE_FREE_DELAY_S + 0.05)
        self.assertIn(b"/-/stage-free", server.requests[-1])

    def test_slow_server_is_told_as_slow(self):
        """Pattern: one server of a pool turns slow for some seconds.

        Its gatherer went on to tell the wait at the usual pace, so requests
        kept coming that would be late (twdoa-spar trouble-3, seconds 12 to 17:
        0.42 of the worth, 0.8 before).
        """

        def slowly(conn):
            eventlet.sleep(0.3)
            return answer([{"handle": "h1"}])(conn)

        self.add_server(slowly)
        _, before = self.submit("r1")
        eventlet.sleep(0.15)
        _, during = self.submit("r2")
        self.assertGreater(during.wait_s, 5.0 * before.wait_s)
        self.wait(1)
        _, after = self.submit("r3")
        self.assertGreater(after.wait_s, 3.0 * before.wait_s)

    def test_refusals_for_memory_teach_no_pace(self):
        """Pattern: a server whose memory is full refuses pieces at once.

        Guards against short waits told while pieces are refused.
        """
        self.add_server(
            *(answer([{"reason": "room"}]) for _ in range(4)),
            answer([{"handle": "h1"}]),
        )
        self.submit("r1")
        self.wait(1)
        group, offer = self.submit("r2")
        usual_s = self.gatherer.queue.wait_s(
            group, stages.PoolLoad(1), time.monotonic()
        )
        # One call made a piece; the quickest pace that it may teach.
        pace = 1.0 - gathering.PACE_WEIGHT * (1.0 - gathering.MIN_PACE)
        self.assertGreaterEqual(offer.wait_s, 0.999 * pace * usual_s)

    def test_results_of_a_busy_server_are_freed_at_once(self):
        """Pattern: little memory for results, which limits a pool.

        A server with memory to spare is called less often.
        """
        for size, calls in ((100, 0), (20e6, 1)):
            server = self.add_server(answer([{"handle": "h"}]), answer([]))
            now = time.monotonic()
            group = stages.Group(
                "r", "p", 0, 1, "k", (), 0, now + 1.0, now + 3.0, size
            )
            ends = len(self.ended)
            self.gatherer.submit(
                group, lambda *end: self.ended.append(end), now
            )
            self.wait(ends + 1)
            self.gatherer.free(group.handles())
            eventlet.sleep(gathering.IDLE_FREE_DELAY_S / 2)
            self.assertEqual(1 + calls, len(server.requests))
            server.close()
            self.entries.clear()

    def test_server_that_started_again_is_called_at_its_new_address(self):
        """Guards against calls to where a server of the same name was."""
        self.add_server(answer([{"handle": "h1"}]))
        self.submit("r1")
        self.wait(1)
        self.entries.clear()
        again = self.add_server(answer([{"handle": "h2"}]))
        second, _ = self.submit("r2")
        self.wait(2)
        self.assertEqual(["h2"], second.handles())
        self.assertEqual(1, len(again.requests))
