"""Tests of connections to backend servers against scripted sockets."""

import errno
import functools
import socket
import struct
import time

import eventlet
import testtools

from savoryspar import backends, platform
from savoryspar.backends import bounded, buffers

HEAD = b"HTTP/1.1 200 OK\r\nSavoryspar-Attempt-Id: %s\r\nSavoryspar-Seal: x\r\n"

REFUSAL = (
    b"HTTP/1.1 503 Busy\r\nSavoryspar-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
)
UNNAMED = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1"


LEAVING_ANSWER = (
    b"HTTP/1.1 200 OK\r\nServer-Leaving: 1\r\nContent-Length: 0\r\n\r\n"
)


class ScriptedServer:
    """Answers each request with the next step of a script."""

    def __init__(self, *steps):
        self.requests = []
        self.connections = 0
        self._steps = list(steps)
        self._sock = eventlet.listen(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._sock.getsockname()[1]}"
        self._acceptor = eventlet.spawn(self._accept)

    def _accept(self):
        while True:
            conn, _ = self._sock.accept()
            self.connections += 1
            eventlet.spawn(self._serve, conn)

    def close(self):
        """Refuses new connections."""
        self._acceptor.kill()
        self._sock.close()

    def _serve(self, conn):
        while self._steps:
            head = b""
            while b"\r\n\r\n" not in head:
                data = conn.recv(65536)
                if not data:
                    return
                head += data
            self.requests.append(head)
            self._steps.pop(0)(conn)


def send(data):
    return lambda conn: conn.sendall(data)


def send_and_reset(data):
    def step(conn):
        conn.sendall(data)
        eventlet.sleep(0.05)
        linger = struct.pack("ii", 1, 0)
        conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        conn.close()

    return step


def send_and_end(data):
    def step(conn):
        conn.sendall(data)
        conn.shutdown(socket.SHUT_RDWR)
        conn.close()

    return step


def send_endlessly(head, data):
    """Returns a step that sends until the client closes the connection."""

    def step(conn):
        conn.sendall(head)
        try:
            while True:
                conn.sendall(data)
                eventlet.sleep(0)
        except OSError:
            conn.close()

    return step


def complete_answer(attempt_id, body):
    head = HEAD % attempt_id + b"Content-Length: %d\r\n\r\n" % len(body)
    return head + body


class LostSocket:
    """A socket of which reads fail."""

    def __init__(self, sock, fail):
        self._sock = sock
        self.recv_into = fail

    def __getattr__(self, name):
        return getattr(self._sock, name)


class ConnectionsTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.connections = backends.new_connections(
            platform.decode_answer_facts, time.monotonic
        )

    def fetch(self, server, attempt_id="a", may_repeat=False):
        answer = self.connections.send(
            ("s", server.address),
            "GET",
            "/x%2f",
            [("Savoryspar-Attempt-Id", attempt_id)],
            b"",
            2.0,
            attempt_id,
            may_repeat,
        )
        return answer.read_all(time.monotonic() + 2.0)

    def test_reset_does_not_complete_a_body_without_length(self):
        """Guards against a truncated body passed on as complete.

        Seen on day trouble-2.
        """
        head = HEAD % b"a" + b"Connection: close\r\n\r\n"
        server = ScriptedServer(send_and_reset(head + b"half"))
        self.assertRaises(backends.CallOutcomeUnknownError, self.fetch, server)

    def test_lost_connection_does_not_complete_a_body_without_length(self):
        """Guards against errors that eventlet reports as end of file."""
        head = HEAD % b"a" + b"Connection: close\r\n\r\n"
        for code in (
            errno.ECONNRESET,
            errno.ENOTCONN,
            errno.ESHUTDOWN,
            errno.ETIMEDOUT,
            errno.EHOSTUNREACH,
            errno.ENETUNREACH,
            errno.ECONNABORTED,
            errno.EPIPE,
        ):
            server = ScriptedServer(send(head + b"half"))
            answer = self.connections.send(
                ("s", server.address), "GET", "/", [], b"", 2.0, "a"
            )

            def fail(*args, code=code):
                raise OSError(code, "lost")

            until = time.monotonic() + 2.0
            self.assertEqual(b"half", answer.read_part(until))
            answer._sock.fd = LostSocket(answer._sock.fd, fail)
            self.assertRaises(
                backends.CallOutcomeUnknownError, answer.read_part, until
            )

    def test_normal_close_completes_a_body_without_length(self):
        """Guards against an error for answers that end correctly."""
        head = HEAD % b"a" + b"Connection: close\r\n\r\n"
        server = ScriptedServer(send_and_end(head + b"whole"))
        self.assertEqual(b"whole", self.fetch(server))

    def test_short_body_is_an_error(self):
        """Guards against a truncated body passed on as complete."""
        head = HEAD % b"a" + b"Content-Length: 9\r\n\r\n"
        server = ScriptedServer(send_and_end(head + b"half"))
        self.assertRaises(backends.CallOutcomeUnknownError, self.fetch, server)

    def test_answer_that_ends_anywhere_in_head_or_chunks_is_an_error(self):
        """Guards against the end of a connection taken for that of a head.

        Chunk sizes and trailers that end early looked complete as well.
        """
        text = (
            HEAD % b"a" + b"Transfer-Encoding: chunked\r\n\r\n"
            b"10\r\n0123456789abcdef\r\n0\r\nX-Trailer: y\r\n\r\n"
        )
        for cut in range(1, len(text)):
            server = ScriptedServer(send_and_end(text[:cut]))
            exc = self.assertRaises(
                backends.CallOutcomeUnknownError, self.fetch, server
            )
            self.assertTrue(exc.is_crash, (cut, exc))
        server = ScriptedServer(send_and_end(text))
        self.assertEqual(b"0123456789abcdef", self.fetch(server))

    def test_end_of_each_answer_is_told(self):
        """Guards against logs that leave open how an answer ended."""
        length = HEAD % b"a" + b"Content-Length: 2\r\n\r\nok"
        chunked = HEAD % b"a" + b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"
        unframed = HEAD % b"a" + b"\r\nok"
        for step, end in (
            (send(length), "length"),
            (send(chunked + b"0\r\n\r\n"), "last chunk"),
            (send_and_end(unframed), "connection"),
            (send_and_end(length[:-1]), "cut"),
            (send_and_end(chunked), "cut"),
            (send_and_end(HEAD % b"a"), "cut"),
            (send_and_end(b""), "cut"),
            (send_and_reset(length[:-1]), "reset"),
            (send_and_reset(chunked), "reset"),
            (send_and_reset(unframed), "reset"),
            (send_and_reset(HEAD % b"a"), "reset"),
            (send_and_reset(b""), "reset"),
            (send(length[:-1]), "timeout"),
            (send(HEAD % b"a"), "timeout"),
            (send(b"no answer\r\n\r\n"), "malformed"),
        ):
            server = ScriptedServer(step)
            try:
                answer = self.connections.send(
                    ("s", server.address), "GET", "/", [], b"", 0.2, "a"
                )
                answer.read_all(time.monotonic())
                found = answer.end
            except backends.CallOutcomeUnknownError as exc:
                found = exc.end
            self.assertEqual(end, found)

    def test_late_refusal_without_an_attempt_is_not_believed(self):
        """Guards against "not run" for a request that its server runs."""
        for late in (REFUSAL, UNNAMED):
            server = ScriptedServer(
                send(complete_answer(b"a", b"1")), send(late)
            )
            self.fetch(server, "a")
            exc = self.assertRaises(
                backends.UnattributedAnswerError, self.fetch, server, "b"
            )
            self.assertFalse(exc.is_crash, exc)
            self.assertEqual(1, server.connections)

    def test_connection_is_not_reused_after_an_answer_without_an_attempt(self):
        """Guards against a copy of it in place of the next answer.

        Nothing would tell a copy from an answer of a server that names none.
        """
        for first in (REFUSAL, UNNAMED):
            server = ScriptedServer(
                send(first), send(complete_answer(b"b", b"2"))
            )
            self.fetch(server, "a")
            self.assertEqual(b"2", self.fetch(server, "b"))
            self.assertEqual(2, server.connections)

    def test_requests_without_an_attempt_share_no_connection(self):
        """Guards against another caller's answer to a request without an ID."""
        server = ScriptedServer(
            send(complete_answer(b"a", b"1")),
            *(
                send(UNNAMED.replace(b"1\r\n\r\n1", b"1\r\n\r\n%d" % n))
                for n in range(3)
            ),
        )
        self.fetch(server, "a")
        for number in range(3):
            answer = self.connections.send(
                ("s", server.address),
                "GET",
                "/",
                [],
                b"",
                2.0,
                shares_connection=False,
            )
            self.assertEqual(
                b"%d" % number, answer.read_all(time.monotonic() + 2.0)
            )
        self.assertEqual(4, server.connections)

    def test_attempt_is_not_sent_twice_on_a_connection(self):
        """Guards against a late answer to the first send of an attempt.

        It names the same attempt, so it would be taken for the answer to the
        second send, which may ask for the rest of a stream.
        """
        server = ScriptedServer(
            send(complete_answer(b"a", b"1")),
            send(complete_answer(b"a", b"2")),
            send(complete_answer(b"b", b"3")),
        )
        self.assertEqual(b"1", self.fetch(server, "a"))
        self.assertEqual(b"2", self.fetch(server, "a"))
        self.assertEqual(2, server.connections)
        self.assertEqual(b"3", self.fetch(server, "b"))
        self.assertEqual(2, server.connections)

    def test_copy_that_names_no_attempt_ends_a_body_without_length(self):
        """Guards against results of a stage that are followed by a copy."""
        head = b"HTTP/1.1 200 OK\r\nContent-Type: text/x\r\nDate: %s\r\n\r\n"
        copies = head % b"a day" + b"{}" + head % b"another" + b"{}"
        for cut in range(len(head), len(copies)):

            def in_two(conn, cut=cut):
                conn.sendall(copies[:cut])
                eventlet.sleep(0.001)
                send_and_end(copies[cut:])(conn)

            self.assertEqual(b"{}", self.fetch(ScriptedServer(in_two), ""))

    def test_content_with_a_long_head_is_passed_on(self):
        """Guards against an error of the parser of heads."""
        fields = b"".join(b"X-%d: 1\r\n" % number for number in range(200))
        body = b"HTTP/1.1 200 OK\r\n" + fields + b"\r\nbody"
        server = ScriptedServer(send_and_end(HEAD % b"a" + b"\r\n" + body))
        self.assertEqual(body, self.fetch(server))

    def test_late_answer_after_a_time_out_reaches_nobody(self):
        """Guards against the answer to a request that was given up."""
        for kept in ((), (send(complete_answer(b"a", b"1")),)):

            def answer_late(conn):
                eventlet.sleep(0.15)
                conn.sendall(complete_answer(b"b", b"2"))

            server = ScriptedServer(
                *kept, answer_late, send(complete_answer(b"c", b"3"))
            )
            for _ in kept:
                self.fetch(server, "a")
            self.assertRaises(
                backends.CallOutcomeUnknownError,
                self.connections.send,
                ("s", server.address),
                "GET",
                "/",
                [],
                b"",
                0.1,
                "b",
            )
            eventlet.sleep(0.1)
            self.assertEqual(b"3", self.fetch(server, "c"))
            self.assertEqual(2, server.connections)

    def test_late_answer_after_a_cancelled_request_reaches_nobody(self):
        """Guards against the answer to a caller that has left.

        It leaves before the head, and inside the body of the answer. The
        server learns of it at once.
        """
        whole = complete_answer(b"b", b"body")
        for sent in (b"", whole[:30], whole[:-2]):
            closed = []

            def answer_late(conn, sent=sent, closed=closed):
                conn.sendall(sent)
                closed.append(conn.recv(1))
                conn.sendall(whole[len(sent) :])

            server = ScriptedServer(
                answer_late, send(complete_answer(b"c", b"3"))
            )
            thread = eventlet.spawn(self.fetch, server, "b")
            eventlet.sleep(0.1)
            self.assertEqual([], closed)
            thread.kill()
            eventlet.sleep(0.1)
            self.assertEqual([b""], closed)
            self.assertEqual(b"3", self.fetch(server, "c"))
            self.assertEqual(2, server.connections)

    def test_late_answer_of_another_server_at_the_address_reaches_nobody(self):
        """Guards against the answer of a server that left its address."""
        server = ScriptedServer(
            send(complete_answer(b"a", b"1")), send(complete_answer(b"b", b"2"))
        )
        self.fetch(server, "a")
        answer = self.connections.send(
            ("other", server.address), "GET", "/", [], b"", 2.0, "b"
        )
        self.assertEqual(b"2", answer.read_all(time.monotonic() + 2.0))
        self.assertEqual(2, server.connections)

    def test_copy_after_interim_answers_is_skipped(self):
        """Guards against a copy that hides behind an interim answer."""
        interim = b"HTTP/1.1 100 Continue\r\n\r\n"
        server = ScriptedServer(
            send(interim + complete_answer(b"a", b"1")),
            send(
                interim
                + complete_answer(b"a", b"1")
                + interim
                + complete_answer(b"b", b"2")
            ),
        )
        self.assertEqual(b"1", self.fetch(server, "a"))
        self.assertEqual(b"2", self.fetch(server, "b"))

    def test_late_refusal_of_another_attempt_is_skipped(self):
        """Guards against "not run" for a request that its server runs."""
        refusal = HEAD % b"a" + (
            b"Savoryspar-Not-Run: 1\r\nContent-Length: 4\r\n\r\nfull"
        )
        for status in (b"503 Busy", b"429 Slow", b"421 Other", b"408 Late"):
            late = refusal.replace(b"200 OK", status)
            server = ScriptedServer(
                send(late), send(late + complete_answer(b"b", b"2"))
            )
            self.assertEqual(b"full", self.fetch(server, "a"))
            self.assertEqual(b"2", self.fetch(server, "b"))
            self.assertFalse(
                self.connections.availability.is_leaving(("s", server.address))
            )

    def test_stray_answer_in_chunks_is_skipped(self):
        """Guards against a failure although the due answer follows."""
        for chunked in (
            b"5\r\nstray\r\n0\r\n\r\n",
            b"2\r\nst\r\n3\r\nray\r\n0\r\nX-Trailer: y\r\n\r\n",
        ):
            stray = (
                HEAD % b"a" + b"Transfer-Encoding: chunked\r\n\r\n" + chunked
            )
            whole = stray + complete_answer(b"b", b"2")
            for cut in range(0, len(whole), 7):

                def in_two(conn, cut=cut, whole=whole):
                    conn.sendall(whole[:cut])
                    eventlet.sleep(0.002)
                    conn.sendall(whole[cut:])

                server = ScriptedServer(
                    send(complete_answer(b"a", b"1")), in_two
                )
                self.fetch(server, "a")
                self.assertEqual(b"2", self.fetch(server, "b"), cut)

    def test_copy_in_chunks_that_begins_with_the_answer_is_not_read_on(self):
        """Guards against the rest of a copy that is read as the next answer.

        The first bytes of the copy arrive with the last chunk of the answer.
        """
        whole = (
            HEAD % b"a" + b"Transfer-Encoding: chunked\r\n\r\n"
            b"1\r\n1\r\n0\r\n\r\n"
        )
        for cut in range(1, len(whole), 7):

            def begin_copy(conn, cut=cut):
                conn.sendall(whole + whole[:cut])

            server = ScriptedServer(
                begin_copy, send(complete_answer(b"b", b"2"))
            )
            self.assertEqual(b"1", self.fetch(server, "a"))
            self.assertEqual(b"2", self.fetch(server, "b"), cut)
            self.assertEqual(2, server.connections)

    def test_connection_is_not_used_again_after_a_stray_answer(self):
        """Guards against answers that stay behind by one on a connection."""
        server = ScriptedServer(
            send(complete_answer(b"a", b"1")),
            send(complete_answer(b"a", b"1") + complete_answer(b"b", b"2")),
            send(complete_answer(b"c", b"3")),
        )
        for attempt_id, body in (("a", b"1"), ("b", b"2"), ("c", b"3")):
            self.assertEqual(body, self.fetch(server, attempt_id))
        self.assertEqual(2, server.connections)

    def test_stray_answer_that_cannot_be_skipped_is_no_failure(self):
        """Guards against a server that is blamed for a copy of an answer."""
        strays = (
            # Its end is that of the connection.
            HEAD % b"a" + b"\r\nstray",
            # More copies than are skipped.
            complete_answer(b"a", b"1") * 3,
            REFUSAL,
        )
        for stray in strays:
            steps = (
                send(complete_answer(b"a", b"1")),
                send(stray),
                send(complete_answer(b"b", b"2")),
            )
            server = ScriptedServer(*steps)
            self.fetch(server, "a")
            exc = self.assertRaises(
                backends.UnattributedAnswerError, self.fetch, server, "b"
            )
            self.assertFalse(exc.is_crash, exc)
            server = ScriptedServer(*steps)
            self.fetch(server, "a")
            found = self.fetch(server, "b", may_repeat=True)
            self.assertEqual((b"2", 2), (found, server.connections))

    def test_connection_is_reused_after_a_complete_answer(self):
        """Guards against a new connection for each request."""
        server = ScriptedServer(
            send(complete_answer(b"a", b"1")), send(complete_answer(b"b", b"2"))
        )
        self.assertEqual(b"1", self.fetch(server, "a"))
        self.assertEqual(b"2", self.fetch(server, "b"))
        self.assertEqual(1, server.connections)

    def test_stray_answer_is_skipped(self):
        """Guards against a late answer returned for another request."""
        server = ScriptedServer(
            send(complete_answer(b"a", b"1")),
            send(complete_answer(b"a", b"stray") + complete_answer(b"b", b"2")),
        )
        self.fetch(server, "a")
        self.assertEqual(b"2", self.fetch(server, "b"))
        self.assertEqual(1, self.connections.stray_answers)

    def test_stray_answer_is_skipped_for_a_request_without_an_attempt(self):
        """Guards against another caller's answer to a request without an ID."""
        own = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown"
        server = ScriptedServer(
            send(complete_answer(b"a", b"1")),
            send(complete_answer(b"a", b"1") + own),
        )
        self.fetch(server, "a")
        self.assertEqual(b"own", self.fetch(server, ""))

    def test_extra_bytes_between_requests_close_the_connection(self):
        """Guards against a duplicate answer returned to the next caller."""
        duplicate = complete_answer(b"a", b"1")
        for late in (duplicate, duplicate[:30], b"\r\n"):
            server = ScriptedServer(
                send(duplicate + late), send(complete_answer(b"b", b"2"))
            )
            self.assertEqual(b"1", self.fetch(server, "a"))
            eventlet.sleep(0.02)
            self.assertEqual(b"2", self.fetch(server, "b"))
            self.assertEqual(2, server.connections)

    def test_late_copy_is_skipped_when_split_anywhere(self):
        """Guards against a late duplicate returned instead of the answer.

        The duplicate and the answer after it state different attempts. They
        arrive in two segments that are split at various offsets.
        """
        for cut in (10, 40, 70, 120):
            late = complete_answer(b"a", b"1") + complete_answer(b"b", b"2")

            def in_two(conn, late=late, cut=cut):
                conn.sendall(late[:cut])
                eventlet.sleep(0.01)
                conn.sendall(late[cut:])

            server = ScriptedServer(send(complete_answer(b"a", b"1")), in_two)
            self.assertEqual(b"1", self.fetch(server, "a"))
            self.assertEqual(b"2", self.fetch(server, "b"))

    def test_request_lost_on_a_reused_connection_may_have_run(self):
        """Guards against "not run" reported for a request that was read.

        A crashing server reset a reused connection after it had read the
        request, and refused the new connection of the repeated send
        (soak --seed 16 --for 15).
        """

        def crash(conn):
            server.close()
            send_and_reset(b"")(conn)

        server = ScriptedServer(send(complete_answer(b"a", b"1")), crash)
        self.fetch(server, "a")
        exc = self.assertRaises(
            backends.CallOutcomeUnknownError,
            self.fetch,
            server,
            "b",
            may_repeat=True,
        )
        self.assertTrue(exc.has_sent)
        # Otherwise the crash would be charged to nobody.
        self.assertTrue(exc.is_crash, exc)
        self.assertEqual(2, len(server.requests))

    def test_lost_request_is_not_sent_again_to_a_server_that_is_gone(self):
        """Guards against requests to a server long after it was removed.

        Its connections broke when its process ended, seconds after its entry
        was removed, and each running request was sent there once more.
        """
        server = self._lose_request("s")
        self.assertEqual(b"2", self.fetch(server, "b", may_repeat=True))
        server = self._lose_request("other")
        exc = self.assertRaises(
            backends.CallOutcomeUnknownError,
            self.fetch,
            server,
            "b",
            may_repeat=True,
        )
        self.assertTrue(exc.has_sent)
        self.assertEqual(2, len(server.requests))

    def _lose_request(self, listed):
        """Returns a server that loses a request; then one server is listed."""

        def lose(conn):
            self.connections.drop_unlisted([(listed, server.address)])
            send_and_reset(b"")(conn)

        server = ScriptedServer(
            send(complete_answer(b"a", b"1")),
            lose,
            send(complete_answer(b"b", b"2")),
        )
        self.fetch(server, "a")
        return server

    def test_late_answer_does_not_mark_a_restarted_server_as_leaving(self):
        """Guards against a server that gets no work after its restart.

        A VM that was paused reads the answer of the earlier instance, which
        was leaving, just before or after it learns of the restart.
        """
        availability = self.connections.availability
        for is_listed_first in (True, False):
            steps = []
            server = ScriptedServer(lambda conn, s=steps: [f(conn) for f in s])
            key = ("s", server.address)
            restart = functools.partial(availability.update, {key: 2000})
            steps += [
                lambda conn: eventlet.sleep(1.1),
                lambda conn, restart=restart, is_due=is_listed_first: (
                    is_due and restart(time.monotonic())
                ),
                send(LEAVING_ANSWER),
            ]
            availability.update({key: 1000}, time.monotonic())
            self.fetch(server)
            self.assertNotEqual(is_listed_first, availability.is_leaving(key))
            restart(time.monotonic())
            self.assertFalse(availability.is_leaving(key), is_listed_first)

    def test_target_is_sent_unchanged(self):
        """Guards against percent-escapes rewritten by the client library."""
        server = ScriptedServer(send(complete_answer(b"a", b"1")))
        self.fetch(server)
        self.assertIn(b"GET /x%2f HTTP/1.1\r\n", server.requests[0])

    def test_request_without_a_connection_has_not_run(self):
        """Guards against an unknown outcome for a request never sent."""
        sock = socket.socket()
        sock.bind(("127.0.0.1", 0))
        server = ScriptedServer()
        server.address = f"127.0.0.1:{sock.getsockname()[1]}"
        self.assertRaises(backends.CallRefusedError, self.fetch, server)
        sock.close()


class ConnectTest(testtools.TestCase):
    def open(self, address):
        return bounded.open_connection(address, (), 0.2)

    def test_connection_established_at_the_timeout_is_used(self):
        """Guards against healthy servers rejected by a suspended VM.

        The timeout has passed by the time that the VM checks the socket.
        """
        connect = bounded.BoundedSocket.connect

        def late(sock, address):
            connect(sock, address)
            raise TimeoutError("timed out")

        self.patch(bounded.BoundedSocket, "connect", late)
        server = ScriptedServer()
        self.addCleanup(server.close)
        self.open(server.address).close()

    def test_connection_that_is_not_established_times_out(self):
        """Guards against an unconnected socket used as a connection."""

        def never(sock, address):
            del sock, address
            raise TimeoutError("timed out")

        self.patch(bounded.BoundedSocket, "connect", never)
        self.assertRaises(TimeoutError, self.open, "127.0.0.1:1")


class EndlessAnswerTest(testtools.TestCase):
    """A server that sends endlessly affects only its own request."""

    def setUp(self):
        super().setUp()
        self.connections = backends.new_connections(
            platform.decode_answer_facts, time.monotonic
        )

    def fetch(self, step, left_s=20.0):
        server = ScriptedServer(step)
        self.addCleanup(server.close)
        until = time.monotonic() + left_s
        answer = self.connections.send(
            ("s", server.address), "GET", "/", [], b"", left_s, "a"
        )
        return answer.read_all(until)

    def check_fails(self, head, data, left_s=20.0):
        with eventlet.Timeout(10.0):
            exc = self.assertRaises(
                backends.CallOutcomeUnknownError,
                self.fetch,
                send_endlessly(head, data),
                left_s,
            )
        self.assertFalse(exc.is_crash, exc)

    def test_body_without_length_or_end(self):
        """Guards against a body buffered until the VM runs out of memory."""
        self.check_fails(HEAD % b"a" + b"\r\n", b"x" * 65536)

    def test_chunks_without_end(self):
        """Guards against a chunked body buffered until memory runs out."""
        head = HEAD % b"a" + b"Transfer-Encoding: chunked\r\n\r\n"
        self.check_fails(head, b"8000\r\n" + b"x" * 0x8000 + b"\r\n")

    def test_interim_answers_without_end(self):
        """Guards against waiting for a head beyond the deadline."""
        self.check_fails(b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 100)

    def test_trailers_without_end(self):
        """Guards against endless trailers read after a complete body."""
        head = HEAD % b"a" + b"Transfer-Encoding: chunked\r\n\r\n"
        self.check_fails(
            head + b"4\r\nbody\r\n0\r\n", b"X-Trailer: y\r\n" * 100
        )

    def test_slow_bytes_end_at_the_deadline(self):
        """Guards against a timeout that each byte restarts."""

        def step(conn):
            head = HEAD % b"a" + b"Transfer-Encoding: chunked\r\n\r\n"
            try:
                conn.sendall(head + b"4;")
                while True:
                    conn.sendall(b"x")
                    eventlet.sleep(0.05)
            except OSError:
                conn.close()

        with eventlet.Timeout(5.0):
            self.assertRaises(
                backends.CallOutcomeUnknownError, self.fetch, step, 0.5
            )

    def test_stated_length_above_the_buffer_limit_is_known(self):
        """Guards against a valid large answer treated as endless."""
        head = HEAD % b"a" + b"Content-Length: 9000000\r\n\r\n"
        server = ScriptedServer(send(head))
        answer = self.connections.send(
            ("s", server.address), "GET", "/", [], b"", 2.0, "a"
        )
        self.addCleanup(answer.close)
        self.assertEqual(9000000, answer.length)

    def test_largest_answer_is_aborted_above_the_total_limit(self):
        """Guards against many bodies of allowed size exhausting memory."""
        buffered = buffers.BufferedBytes(100)
        aborted = []

        class Reader:
            def __init__(self, name):
                self.name = name

            def abort(self):
                aborted.append(self.name)

        small, large = Reader("small"), Reader("large")
        buffered.add(large, 70)
        buffered.add(small, 30)
        self.assertEqual([], aborted)
        buffered.add(small, 1)
        self.assertEqual((["large"], 31), (aborted, buffered.total))

    def test_other_calls_are_served_during_a_flood(self):
        """Guards against one server's data blocking other green threads."""
        flood = ScriptedServer(
            send_endlessly(HEAD % b"a" + b"\r\n", b"x" * 65536)
        )
        healthy = ScriptedServer(send(complete_answer(b"b", b"healthy")))
        thread = eventlet.spawn(
            self.connections.send,
            ("f", flood.address),
            "GET",
            "/",
            [],
            b"",
            5.0,
            "a",
        )
        answer = self.connections.send(
            ("c", healthy.address), "GET", "/", [], b"", 2.0, "b"
        )
        self.assertEqual(b"healthy", answer.read_all(time.monotonic() + 2.0))
        thread.wait().close()
