"""Tests of membership with real processes, signals and TLS."""

from concurrent import futures
import time

import testtools

from savoryspar.bench import deployments, keys
from savoryspar.bench import fleet as fleet_lib
from savoryspar.membership import calls

TIMEOUT_S = 15.0


class MembersCase(testtools.TestCase):
    SIZE = 3
    ZONES = 1

    def setUp(self):
        super().setUp()
        self.fleet = fleet_lib.Fleet()
        self.addCleanup(self.fleet.close)
        self.processes = [
            self.fleet.start_members(
                f"m{number}", zones=self.ZONES, first=number
            )
            for number in range(self.SIZE)
        ]
        self.list_addresses(self.processes)
        for process in self.processes:
            self.wait(lambda p=process: self.has_full_view(p))
        self.names = [self.stats(p)["incarnation"] for p in self.processes]

    def stats(self, process):
        return self.fleet.get_json(process, "/stats")["members"][0]

    def list_addresses(self, processes):
        addresses = [self.stats(process)["address"] for process in processes]
        for process in processes:
            self.fleet.post_json(process, "/listed", {"addresses": addresses})

    def seen(self, process):
        return {m["incarnation"] for m in self.stats(process)["members"]}

    def has_full_view(self, process):
        stats = self.stats(process)
        is_complete = len(stats["members"]) == self.SIZE - 1
        return is_complete and stats["is_confirmed"]

    def wait(self, is_done):
        deadline_at = time.monotonic() + TIMEOUT_S
        while not is_done():
            if time.monotonic() > deadline_at:
                self.fail("the condition was not met in time")
            time.sleep(0.05)

    def drop_frames(self, processes, names):
        for process in processes:
            body = {"incarnations": names}
            self.fleet.post_json(process, "/deaf", body)

    def request(self, process, to, kind, body, timeout_s=2.0):
        return self.fleet.post_json(
            process,
            "/request",
            {"to": to, "kind": kind, "body": body, "timeout_s": timeout_s},
        )

    def publish(self, process, revision, share):
        text = deployments.GESTO.sheet_text()
        text = text.replace("compania-grande,share,3", share)
        body = {"text": text, "revision": revision}
        self.fleet.post_json(process, "/sheet", body)

    def revisions(self):
        return [self.stats(process)["revision"] for process in self.processes]


class MembershipTest(MembersCase):
    def test_requests_broadcasts_and_facts(self):
        """Guards against lost or duplicate messages.

        Callers rely on each message arriving at most once.
        """
        first = self.processes[0]
        reply = self.request(first, self.names[1], "echo", {"a": 1})
        self.assertEqual({"reply": {"echo": {"a": 1}}}, reply)
        unknown = self.request(first, self.names[1], "nothing", {})
        self.assertIn("use one of echo", unknown["error"])
        late = self.request(first, self.names[1], "sleep", 3, 0.2)
        self.assertTrue(late["has_sent"])
        self.fleet.post_json(first, "/broadcast", {"body": 7})
        message = [self.names[0], 7]
        others = self.processes[1:]
        self.wait(lambda: all(self.stats(p)["received"] for p in others))
        for process in others:
            self.assertEqual([message], self.stats(process)["received"])
        self.fleet.post_json(first, "/fact", {"name": "load", "body": {"n": 5}})
        fact = {self.names[0]: {"n": 5}}
        self.wait(lambda: self.stats(others[0])["facts"] == fact)

    def test_waiting_handlers_do_not_delay_other_messages(self):
        """Guards against a link that is not read while handlers wait.

        When as many claims for permits waited as a VM has handlers, it read no
        heartbeat and no change of the store from that peer.
        """
        first, second, _ = self.processes
        count = calls.MAX_RUNNING_HANDLERS + 20
        with futures.ThreadPoolExecutor(count) as executor:
            for _ in range(count):
                executor.submit(
                    self.request, first, self.names[1], "sleep", 4, 6.0
                )
            time.sleep(1.0)
            reply = self.request(first, self.names[1], "echo", {"a": 1}, 1.0)
            seen = self.seen(second)
        self.assertEqual({"reply": {"echo": {"a": 1}}}, reply)
        self.assertIn(self.names[0], seen)

    def test_killed_member_leaves_the_view_and_gets_no_requests(self):
        """Guards against a dead member in the view.

        A request to it must fail and report that nothing was sent.
        """
        first, second, third = self.processes
        third.kill()
        self.wait(lambda: self.names[2] not in self.seen(first))
        self.assertTrue(self.stats(first)["is_confirmed"])
        refused = self.request(first, self.names[2], "echo", {})
        self.assertFalse(refused["has_sent"])
        second.kill()
        self.wait(lambda: self.names[1] not in self.seen(first))
        self.assertFalse(self.stats(first)["is_confirmed"])

    def test_paused_member_leaves_the_view_and_returns(self):
        """Guards against a resumed process that acts on an unconfirmed view."""
        first, second, _ = self.processes
        second.pause()
        self.wait(lambda: self.names[1] not in self.seen(first))
        second.resume()
        self.wait(lambda: self.stats(second)["pauses"] >= 1)
        self.wait(lambda: self.has_full_view(second))
        self.wait(lambda: self.names[1] in self.seen(first))
        self.assertEqual({*self.names} - {self.names[1]}, self.seen(second))

    def test_leaving_is_announced(self):
        """Guards against suspecting a member that stopped in an orderly way."""
        first, second, _ = self.processes
        self.fleet.post_json(second, "/stop", {})
        self.wait(lambda: self.names[1] not in self.seen(first))
        text = self.fleet.log_text("m0")
        line = f"Member left. name=m1 zone=z0 incarnation={self.names[1]}"
        self.assertIn(line, text)

    def test_other_ca_is_refused_and_new_certificates_are_loaded(self):
        """Guards against links to processes whose certificate has another CA.

        The check must use the current certificate files.
        """
        first = self.processes[0]
        other_keys = keys.new_test_ca(self.fleet.directory / "other").issue("x")
        other = self.fleet.start_members("x", settings=other_keys.settings())
        address = self.stats(first)["address"]
        self.fleet.post_json(other, "/listed", {"addresses": [address]})
        self.wait(lambda: self.stats(first)["refusals"].get("handshake", 0))
        self.assertEqual(set(self.names[1:]), self.seen(first))
        self.assertIn("certificates of one CA", self.fleet.log_text("m0"))
        joining = self.fleet.ca.issue("x")
        for source, target in (
            (joining.certificate, other_keys.certificate),
            (joining.key, other_keys.key),
            (joining.ca, other_keys.ca),
        ):
            source.replace(target) if source != joining.ca else (
                target.write_bytes(source.read_bytes())
            )
        name = self.stats(other)["incarnation"]
        self.wait(lambda: name in self.seen(first))

    def test_revisions_propagate_and_never_decrease(self):
        """Guards against a higher revision replaced by a late or lower one."""
        first, second, third = self.processes
        self.publish(first, 2, "compania-grande,share,4")
        self.wait(lambda: self.revisions() == [2, 2, 2])
        third.pause()
        self.publish(second, 4, "compania-grande,share,5")
        self.publish(second, 5, "compania-grande,share,6")
        third.resume()
        self.wait(lambda: self.revisions() == [5, 5, 5])
        self.publish(first, 3, "compania-grande,share,7")
        self.publish(first, 5, "compania-grande,share,8")
        time.sleep(1.0)
        self.assertEqual([5, 5, 5], self.revisions())
        self.assertIn("revision 5 exists", self.stats(first)["conflict"])
        digests = {self.stats(p)["digest"] for p in self.processes}
        self.assertEqual(1, len(digests))


class PartitionTest(MembersCase):
    SIZE = 5

    def confirmed(self):
        return [self.stats(p)["is_confirmed"] for p in self.processes]

    def test_one_way_cut_confirms_the_majority_only(self):
        """Guards against a view confirmed without two-way contact.

        Members that receive frames of all others, but whose own frames are
        lost, must not confirm their view.
        """
        self.drop_frames(self.processes[2:], self.names[:2])
        expected = [False, False, True, True, True]
        self.wait(lambda: self.confirmed() == expected)
        for _ in range(20):
            self.assertEqual(expected, self.confirmed())
            time.sleep(0.1)
        self.publish(self.processes[0], 2, "compania-grande,share,4")
        self.publish(self.processes[3], 3, "compania-grande,share,5")
        self.drop_frames(self.processes, [])
        self.wait(lambda: all(self.has_full_view(p) for p in self.processes))
        self.wait(lambda: self.revisions() == [3] * 5)


class ZonePartitionTest(MembersCase):
    SIZE = 4
    ZONES = 2

    def test_partitioned_zone_confirms_view_and_adopts_highest_revision(self):
        """Guards against a zone that depends on other zones.

        It must also not revert to a lower revision after the partition.
        """
        sides = (
            (self.processes[::2], self.names[::2]),
            (
                self.processes[1::2],
                self.names[1::2],
            ),
        )
        self.publish(self.processes[0], 1, "compania-grande,share,3")
        self.wait(lambda: self.revisions() == [1] * 4)
        self.drop_frames(sides[0][0], sides[1][1])
        self.drop_frames(sides[1][0], sides[0][1])
        for processes, names in sides:
            for process, name in zip(processes, names, strict=True):
                expected = {*names} - {name}
                self.wait(lambda p=process, e=expected: self.seen(p) == e)
                self.assertTrue(self.stats(process)["is_confirmed"])
        self.publish(self.processes[0], 3, "compania-grande,share,4")
        self.publish(self.processes[1], 2, "compania-grande,share,5")
        self.wait(lambda: self.revisions() == [3, 2, 3, 2])
        self.drop_frames(self.processes, [])
        self.wait(lambda: self.revisions() == [3] * 4)
        self.wait(lambda: all(self.has_full_view(p) for p in self.processes))
