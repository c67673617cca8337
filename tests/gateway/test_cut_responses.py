"""Tests of responses of a VM that end early, through its process."""

import signal

import eventlet

from tests.gateway import test_early_ends
from tests.gateway.test_early_ends import event, head

LARGE_BYTES = 3_000_000


def large(fields):
    """Returns the head of an answer that is too large to buffer."""
    return head(fields, b"Content-Length: %d" % LARGE_BYTES)


def begin_stream(fields):
    """Returns the begin of a stream that does not end."""
    return head(fields, b"Content-Length: 9999") + event(0)


def begin_large(fields):
    return large(fields) + b"x" * 2_000_000


class CutResponseTest(test_early_ends.ScriptedCase):
    """Callers can tell a response that is cut from a complete one."""

    grace_s = 1

    def open(self, target, version, *steps):
        """Sends a request and returns the caller's socket."""
        self.platform.steps += steps
        number = next(self.numbers)
        sock = eventlet.connect(("127.0.0.1", self.ports["callers"]))
        self.addCleanup(sock.close)
        sock.settimeout(10.0)
        sock.sendall(
            b"POST %s HTTP/%s\r\nHost: h.example\r\nContent-Length: 2\r\n"
            b"Savoryspar-Attempt-Id: a%d\r\nSavoryspar-Key: key-1\r\n"
            b"Savoryspar-Deadline-Ms: 3000\r\n\r\n%02d"
            % (target, version, number, number)
        )
        return sock

    def read(self, sock, until=b"\0"):
        """Returns what arrives, and whether a reset ends it.

        Reading ends at the end of the connection or after ``until``.
        """
        found = b""
        while until not in found:
            try:
                # The sockets of eventlet report a reset as an end.
                part = sock.fd.recv(65536)
            except BlockingIOError:
                eventlet.sleep(0.01)
                continue
            except ConnectionResetError:
                return found, True
            if not part:
                return found, False
            found += part
        return found, False

    def test_stream_of_an_old_caller_that_is_cut_ends_with_a_reset(self):
        """Guards against a cut stream that looks complete.

        The body of a response to HTTP/1.0 ends with its connection.
        """
        for text in (event(0) + b"id: 1\n", event(0)):
            sock = self.open(
                b"/once/x",
                b"1.0",
                lambda fields, text=text: (
                    head(fields, b"Content-Length: 99") + text,
                    True,
                ),
            )
            found, is_reset = self.read(sock)
            self.assertTrue(is_reset, found)
            self.assertNotIn(b"id: 1", found)

    def test_complete_responses_of_old_callers_end_normally(self):
        """Guards against a reset that destroys a complete response."""
        for target, text in ((b"/once/x", event(0)), (b"/o/x", b"whole")):
            sock = self.open(
                target,
                b"1.0",
                lambda fields, text=text: (head(fields) + text, True),
            )
            found, is_reset = self.read(sock)
            self.assertFalse(is_reset, found)
            self.assertTrue(found.endswith(b"\r\n\r\n" + text), found)

    def test_end_of_the_process_cuts_its_responses(self):
        """Guards against a response that looks complete as its VM ends."""
        for sign in (signal.SIGTERM, signal.SIGKILL):
            socks, begun = [], []
            for target, version, begin, until in (
                (b"/once/x", b"1.0", begin_stream, event(0)),
                (b"/once/x", b"1.1", begin_stream, event(0)),
                (b"/o/x", b"1.1", begin_large, b"x" * 1000),
            ):
                sock = self.open(
                    target, version, lambda f, b=begin: (b(f), False)
                )
                socks.append(sock)
                begun.append(self.read(sock, until)[0])
            self.process.send_signal(sign)
            ends = [self.read(sock) for sock in socks]
            self.assertTrue(ends[0][1], (sign, begun[0], ends[0]))
            self.assertNotIn(b"0\r\n\r\n", begun[1] + ends[1][0])
            self.assertLess(len(begun[2] + ends[2][0]), LARGE_BYTES)
            self.process.wait()
            self.start_vm(0)
            self.process = self.processes[0]
            self.await_ready(self.ports)

    def test_large_answer_that_is_cut_is_no_complete_response(self):
        """Guards against a cut relay that looks complete.

        Neither the end of the server's connection nor a reset may complete
        it, on new connections and on those in use again.
        """
        for size in (0, 1, 70_000, 1_100_000, LARGE_BYTES - 1, LARGE_BYTES):
            for version in (b"1.1", b"1.0"):
                sock = self.open(
                    b"/o/x",
                    version,
                    lambda fields, size=size: (
                        large(fields) + b"x" * size,
                        size < LARGE_BYTES,
                    ),
                )
                found, _ = self.read(sock, b"x" * LARGE_BYTES)
                body = found.partition(b"\r\n\r\n")[2]
                if found:
                    self.assertIn(b"Content-Length: %d" % LARGE_BYTES, found)
                if size == LARGE_BYTES or version == b"1.1":
                    self.assertEqual(size, len(body))
                # A reset may discard what has not been read yet.
                self.assertLessEqual(len(body), size)
                sock.close()
