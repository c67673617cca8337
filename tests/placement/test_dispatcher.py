"""Tests of fencing numbers and of replaced senders."""

import hypothesis
from hypothesis import strategies as st
import testtools

from savoryspar import backends, idempotency, log, placement
from tests.placement import builders

SETTINGS = hypothesis.settings(
    max_examples=300, deadline=None, derandomize=True, database=None
)


class FencingTest(testtools.TestCase):
    @SETTINGS
    @hypothesis.given(
        st.lists(
            st.tuples(
                st.integers(0, 2),
                st.sampled_from(["read", "issue", "send", "restart"]),
                st.integers(-10_000, 10_000),
            ),
            max_size=60,
        )
    )
    def test_numbers_increase_over_senders_restarts_and_clocks(self, steps):
        """An action older than the latest accepted one must be rejected."""
        clocks = [placement.FencingClock() for _ in range(3)]
        issued = [[], [], []]
        highest, wall_s, seen_since = 0, 1_000_000.0, [False] * 3
        for sender, step, shift_s in steps:
            wall_s += shift_s
            if step == "restart":
                clocks[sender], issued[sender] = placement.FencingClock(), []
                seen_since[sender] = False
            elif step == "read":
                clocks[sender].observe(highest)
                seen_since[sender] = True
            elif step == "issue":
                before = clocks[sender].highest
                number = clocks[sender].next_number(wall_s)
                self.assertGreater(number, before)
                if seen_since[sender]:
                    self.assertGreater(number, highest)
                issued[sender].append(number)
            elif issued[sender]:
                number = issued[sender].pop()
                if number > highest:
                    highest = number
                    seen_since = [False] * 3

    def test_clock_set_back(self):
        """A sender whose clock is set back must not reuse lower numbers."""
        clock = placement.FencingClock()
        first = clock.next_number(2000.0)
        self.assertEqual(first + 1, clock.next_number(1000.0))


class Member:
    def __init__(self, incarnation):
        self.incarnation, self.zone, self.is_leaving = incarnation, "z", False


class View:
    def __init__(self, own, others):
        self.own = Member(own)
        self.members = tuple(map(Member, others))
        self.is_confirmed = True


class FakePeers:
    def __init__(self, own, others=()):
        self.current = View(own, others)
        self.numbers = []

    def view(self, now, wall_now):
        return self.current

    def publish_fencing_number(self, number):
        self.numbers.append(number)

    def peer_fencing_numbers(self, now):
        return ()


class FakeClient:
    """Client of fake engines with a hook called before the first byte."""

    def __init__(self, engines):
        self.engines, self.sent = engines, []
        self.on_send = lambda: None

    def read(self, server, now):
        return self.engines[server.name]

    def send(self, server, action, number, before_send):
        self.on_send()
        before_send()
        self.sent.append((type(action), action.engine, number))


class DispatcherTest(testtools.TestCase):
    def new(self, engines, own="a", others=()):
        self.client = FakeClient({e.name: e for e in engines})
        self.peers = FakePeers(own, others)
        dispatcher = placement.new_dispatcher(
            self.peers, lambda: builders.new_sheet(), self.client,
            log.new_decision_log(0.0), placement.Options(),
            lambda: idempotency.ClockReading(0.0, 1000.0),
        )  # fmt: skip
        dispatcher.set_servers(
            backends.Server(e.name, "127.0.0.1:1", "r", "z", "lm")
            for e in engines
        )
        return dispatcher

    def test_each_engine_has_one_sender(self):
        """Two senders for an engine could send conflicting actions."""
        engines = [builders.new_engine(f"e{n}") for n in range(12)]
        sent = []
        for own, other in (("a", "b"), ("b", "a")):
            dispatcher = self.new(engines, own, [other])
            dispatcher.tick()
            sent += [engine for _, engine, _ in self.client.sent]
        self.assertEqual(len(sent), len(set(sent)))
        self.assertEqual(3, len(sent))

    def test_reads_are_spaced(self):
        """Reading a zone with many engines must not use too much CPU."""
        dispatcher = self.new([builders.new_engine(f"e{n}") for n in range(60)])
        dispatcher.tick()
        self.assertAlmostEqual(6.0, dispatcher.min_interval_s)

    def test_number_exceeds_those_of_engines(self):
        """A fenced engine must accept the actions of a new sender."""
        engine = builders.new_engine("e", number=9_000_000)
        self.new([engine]).tick()
        self.assertEqual(9_000_001, self.client.sent[0][2])

    def test_only_loading_is_sent_without_a_confirmed_view(self):
        """A replaced sender must not unload a copy that is in use."""
        gone = [("gone", "ready", 999.0, 0.0)]
        engines = [builders.new_engine("e0", gone, slots=1)]
        engines += [builders.new_engine("e1")]
        dispatcher = self.new(engines)

        def pause():
            self.peers.current.is_confirmed = False

        self.client.on_send = pause
        dispatcher.tick()
        kinds = {kind for kind, _, _ in self.client.sent}
        self.assertEqual({placement.Load}, kinds)
        self.client.on_send = lambda: None
        self.peers.current.is_confirmed = True
        dispatcher.tick()
        self.assertIn(
            placement.Unload, {kind for kind, _, _ in self.client.sent}
        )

    def test_sender_that_was_replaced_does_not_unload(self):
        """An action must not be sent if the view changed during a pause."""
        gone = [("gone", "ready", 999.0, 0.0)]
        dispatcher = self.new([builders.new_engine("e0", gone, slots=1)])

        def replace_sender():
            names = [f"n{number}" for number in range(40)]
            self.peers.current = View("a", names)

        self.client.on_send = replace_sender
        dispatcher.tick()
        self.assertEqual([], self.client.sent)
