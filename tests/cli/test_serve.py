"""Tests of the settings file of a running entry VM."""

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
