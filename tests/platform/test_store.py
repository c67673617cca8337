"""Tests of the store client against scripted answers."""

import base64
import json
import socket
import threading
import time

import testtools

from savoryspar import fleet, platform
from savoryspar.platform import store
from tests.backends import test_connections as scripted
from tests.gateway import odd_store


def answer(status, body, fields=b""):
    return raw_answer(json.dumps(body).encode(), status, fields)


def raw_answer(data, status=200, fields=b""):
    head = b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n" % (status, len(data))
    return scripted.send(head + fields + b"\r\n" + data)


def era(text):
    return b"Store-Era: %s\r\n" % text


def item(key, value, revision):
    text = base64.b64encode(value).decode()
    return {"key": key, "value": text, "revision": revision}


class ThreadedServer:
    """Answers requests in a thread, as the client blocks the test thread."""

    def __init__(self, steps):
        self.requests = []
        self._steps = list(steps)
        self._sock = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._sock.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while self._steps:
            conn, _ = self._sock.accept()
            with conn:
                self._serve(conn)

    def _serve(self, conn):
        while self._steps:
            head = conn.recv(65536)
            if not head:
                return
            self.requests.append(head)
            step = self._steps.pop(0)
            step(conn)
            if conn.fileno() < 0:
                return


class StoreClientTest(testtools.TestCase):
    def client(self, *steps):
        self.server = ThreadedServer(steps)
        return platform.new_store_client(self.server.address, time.monotonic)

    def test_missing_key_is_an_empty_snapshot(self):
        """Guards against a failed start while no configuration exists."""
        snapshot = self.client(answer(404, {"as-of": 7})).get("op/config")
        self.assertEqual(([], 7), (snapshot.items, snapshot.revision))

    def test_all_pages_are_read_as_of_the_first(self):
        """Guards against changes lost while later pages are read."""
        client = self.client(
            answer(
                200,
                {
                    "entries": [item("s/a", b"1", 3)],
                    "truncated": True,
                    "as-of": 9,
                },
            ),
            answer(
                200,
                {
                    "entries": [item("s/b", b"2", 10)],
                    "truncated": False,
                    "as-of": 12,
                },
            ),
        )
        snapshot = client.read_all("s/")
        self.assertEqual(["s/a", "s/b"], [i.key for i in snapshot.items])
        self.assertEqual(9, snapshot.revision)
        self.assertEqual(12, snapshot.last_revision)
        self.assertIn(b"after=s%2Fa", self.server.requests[1])

    def test_removals_are_recognized(self):
        """Guards against a removed server decoded as an empty entry."""
        client = self.client(
            answer(
                200,
                {
                    "events": [
                        item("s/a", b"1", 4),
                        {"key": "s/b", "revision": 5, "deleted": True},
                    ],
                    "as-of": 5,
                },
            )
        )
        changes = client.watch("s/", 3, 1.0)
        self.assertEqual([b"1", None], [i.value for i in changes.items])

    def test_lost_history_is_recognized(self):
        """Guards against a watch that silently skips lost changes."""
        client = self.client(answer(410, {}))
        self.assertRaises(fleet.HistoryGoneError, client.watch, "s/", 3, 1.0)

    def test_answers_tell_the_era_of_their_revisions(self):
        """Guards against revisions of two eras that are compared."""
        client = self.client(
            answer(404, {"as-of": 7}),
            answer(404, {"as-of": 3}, era(b"4")),
            answer(200, {"events": [], "as-of": 4}, era(b"5")),
            answer(
                200,
                {"entries": [], "truncated": False, "as-of": 5},
            ),
        )
        eras = [client.get("k").era, client.get("k").era]
        eras.append(client.watch("s/", 3, 1.0).era)
        eras.append(client.read_all("s/").era)
        self.assertEqual([0, 4, 5, 5], eras)

    def test_list_across_a_restore_is_an_error(self):
        """Guards against a list with entries from before and after a loss."""
        pages = [
            answer(
                200,
                {
                    "entries": [item(f"s/{key}", b"1", 3)],
                    "truncated": key != "c",
                    "as-of": 9,
                },
                era(b"1" if key == "a" else b"2"),
            )
            for key in "abc"
        ]
        client = self.client(*pages)
        self.assertRaises(fleet.StoreError, client.read_all, "s/")

    def test_malformed_era_is_an_error(self):
        """Guards against an answer whose revisions cannot be ordered."""
        for text in (b"x", b"-1", b"1.5", b"9" * 30):
            client = self.client(answer(404, {"as-of": 7}, era(text)))
            self.assertRaises(fleet.StoreError, client.get, "k")

    def test_rejected_calls_are_errors(self):
        """Guards against a rejected read treated as an empty list."""
        for status in (429, 503, 404):
            client = self.client(answer(status, {}))
            self.assertRaises(fleet.StoreError, client.read_all, "s/")

    def test_broken_answers_open_a_new_connection(self):
        """Guards against a client that keeps using a dead connection."""
        client = self.client(
            scripted.send_and_end(b"HTTP/1.1 200 OK\r\nContent-Le"),
            answer(404, {"as-of": 2}),
        )
        self.assertRaises(fleet.StoreError, client.get, "k")
        self.assertEqual(2, client.get("k").revision)

    def test_endless_answer_is_a_failed_call(self):
        """Guards against an endless answer that exhausts memory."""

        def flood(conn):
            try:
                conn.sendall(b"HTTP/1.1 200 OK\r\n\r\n")
                while True:
                    conn.sendall(b" " * 65536)
            except OSError:
                conn.close()

        self.assertRaises(fleet.StoreError, self.client(flood).get, "op/config")

    def test_endless_list_is_a_failed_call(self):
        """Guards against an endless read of a list that is always truncated."""
        page = {"entries": [item("s/a", b"1", 3)], "truncated": True}
        pages = [answer(200, {**page, "as-of": 9})] * (store.MAX_PAGES + 1)
        self.assertRaises(fleet.StoreError, self.client(*pages).read_all, "s/")

    def test_malformed_answer_is_a_failed_call(self):
        """Guards against a watch that one malformed answer ends permanently."""
        malformed = (
            [],
            7,
            "x",
            {},
            {"as-of": "x"},
            {"as-of": None, "entries": 3},
        )
        for body in malformed:
            client = self.client(*[answer(200, body)] * 3)
            for call in (client.get, client.read_all):
                self.assertRaises(fleet.StoreError, call, "s/")
            self.assertRaises(fleet.StoreError, client.watch, "s/", 1, 0.1)
        client = self.client(answer(200, {"events": [[]], "as-of": 3}))
        self.assertRaises(fleet.StoreError, client.watch, "s/", 1, 0.1)

    def test_malformed_item_costs_no_other_item_of_a_list(self):
        """Guards against a list that one malformed item makes unreadable."""
        valid = item("s/a", b"1", 3), item("s/z", b"2", 4)
        for name, odd in odd_store.ODD_ITEMS.items():
            page = {
                "entries": [valid[0], odd, valid[1]],
                "truncated": False,
                "as-of": 9,
            }
            snapshot = self.client(answer(200, page)).read_all("s/")
            found = {i.key: i for i in snapshot.items}
            self.assertEqual((b"1", b"2"), (found["s/a"].value,
                             found["s/z"].value), name)  # fmt: skip
            skipped = [i for i in snapshot.items if i.fault]
            self.assertEqual(9, snapshot.revision)
            if name != "lease 1e999":
                self.assertEqual(1, len(skipped) + len(snapshot.faults), name)

    def test_malformed_item_ends_no_list_of_several_pages(self):
        """Guards against a list that ends at a page's malformed last item."""
        page = {"entries": [item("s/a", b"1", 3), 7], "truncated": True}
        last = {"entries": [item("s/b", b"2", 4)], "truncated": False}
        client = self.client(
            answer(200, {**page, "as-of": 9}),
            answer(200, {**last, "as-of": 9}),
        )
        snapshot = client.read_all("s/")
        self.assertEqual(["s/a", "s/b"], [i.key for i in snapshot.items])
        self.assertIn(b"after=s%2Fa", self.server.requests[1])

    def test_page_that_does_not_advance_is_a_failed_call(self):
        """Guards against hundreds of reads of one page, each of them billed."""
        page = {"entries": [item("s/a", b"1", 3)], "truncated": True}
        unnamed = {"entries": [7], "truncated": "yes"}
        for body in (page, unnamed):
            pages = [answer(200, {**body, "as-of": 9})] * 3
            client = self.client(*pages)
            self.assertRaises(fleet.StoreError, client.read_all, "s/")
            self.assertLessEqual(client.calls, 2)

    def test_change_of_unknown_key_or_revision_needs_a_new_list(self):
        """Guards against a missed change, and a revision no heartbeat carries.

        A revision of 2**64 raised an error in the writer of each link.
        """
        named = {"key": "s/a", "value": "MQ=="}
        for odd in (
            *(7, None, [], {"revision": 5}, named),
            *({**named, "revision": n} for n in (2**64, -1, 1.5, "5", None)),
        ):
            client = self.client(
                answer(200, {"events": [odd, item("s/b", b"2", 5)], "as-of": 5})
            )
            self.assertRaises(
                fleet.HistoryGoneError, client.watch, "s/", 3, 0.1
            )

    def test_change_of_an_odd_key_or_value_is_one_item(self):
        """Guards against a watch that a malformed value or key stops."""
        odd = [
            {"key": "s/a", "revision": 4, "value": "@@@"},
            {"key": "s/\ud800", "revision": 5, "value": "MQ=="},
            {"key": "s/" + "x" * 300, "revision": 6, "value": "MQ=="},
        ]
        client = self.client(
            answer(200, {"events": [*odd, item("s/b", b"2", 7)], "as-of": 7})
        )
        changes = client.watch("s/", 3, 0.1)
        self.assertEqual(
            [True, True, True, False], [bool(i.fault) for i in changes.items]
        )
        for change in changes.items:
            self.assertLessEqual(len(change.key.encode()), 200)

    def test_malformed_page_is_a_failed_call(self):
        """Guards against an error other than that of a store that is down."""
        deep = b'{"as-of": 5, "entries": %s, "events": %s, "truncated": 0}'
        nested = b"[" * 100_000 + b"]" * 100_000
        pages = [
            deep % (nested, nested),
            deep % (b"1e999", b"1e999"),
            deep.replace(b"5", b"1e999") % (b"[]", b"[]"),
            deep.replace(b"5", b"9" * 5000) % (b"[]", b"[]"),
            deep.replace(b"5", b"-1") % (b"[]", b"[]"),
            deep.replace(b"5", b"NaN") % (b"[]", b"[]"),
            b"\xff\xfe{}",
        ]
        for page in pages:
            client = self.client(*[raw_answer(page)] * 2)
            self.assertRaises(fleet.StoreError, client.read_all, "s/")
            self.assertRaises(fleet.StoreError, client.watch, "s/", 1, 0.1)
