"""Tests of the settings file of a running entry VM."""

import time

import eventlet

from tests.gateway import node_case


class SettingsFileTest(node_case.NodeCase):
    grace_s = 9

    def setUp(self):
        super().setUp()
        self.path = self.folder / "entry-0.ini"
        self.text = self.path.read_text("utf-8")

    def await_event(self, event):
        with eventlet.Timeout(5.0):
            while f'"event":"{event}"' not in self.log_path(0).read_text():
                eventlet.sleep(0.05)

    def test_invalid_file_does_not_end_the_watch(self):
        """Guards against a file with bytes that hide all later changes.

        Bytes that are not UTF-8 raised an error that ended the green thread
        that watches the file.
        """
        self.path.write_bytes(b"[gateway]\nname = \xff\n")
        self.await_event("settings refused")
        self.path.write_text(self.text + "# changed\n", "utf-8")
        self.await_event("settings reloaded")

    def test_change_just_before_a_stop_counts(self):
        """Guards against a stop by a grace time that holds no longer.

        The file is polled once a second, so a change in the second before
        SIGTERM was not seen, and the process was killed with its requests.
        """
        caller = eventlet.connect(("127.0.0.1", self.ports["callers"]))
        self.addCleanup(caller.close)
        caller.sendall(
            b"POST /o/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n"
        )
        eventlet.sleep(1.1)
        self.path.write_text(
            self.text.replace("grace_s = 9", "grace_s = 4"), "utf-8"
        )
        stopped_at = time.monotonic()
        self.process.terminate()
        with eventlet.Timeout(12.0):
            while self.process.poll() is None:
                eventlet.sleep(0.01)
        self.assertLess(time.monotonic() - stopped_at, 4.0)
