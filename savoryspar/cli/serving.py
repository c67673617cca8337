"""Runs the process of an entry VM on the users' platform until it is stopped.

``main`` runs it without the library of the command line, which an entry VM does
not use otherwise; loading it takes a tenth of the processor time of a start.
"""

import gc
import os
import signal
import sys

import eventlet

from savoryspar import allocator, conf, gateway
from savoryspar.cli import exit_codes, signals

SETTINGS_VARIABLE = "SAVORYSPAR_NODE_FILE"
"""Environment variable that the platform sets to the settings file's path."""
SETTINGS_POLL_S = 1.0
"""Poll interval; polled because the file may change without a signal."""


def run(path: str = "") -> int:
    """Serves until SIGTERM or SIGINT.

    Args:
        path: Path of the settings file; empty for that of the environment.

    Returns:
        The exit code if the settings are invalid; otherwise the process ends.
    """
    path = path or os.environ.get(SETTINGS_VARIABLE, "")
    try:
        cfg = _load(path)
    except ExceptionGroup as group:
        for exc in group.exceptions:
            print(f"{exc.check_id}: {exc}", file=sys.stderr)
        return exit_codes.USAGE
    allocator.return_large_blocks()
    received = signals.new_signal_queue(
        signal.SIGTERM, signal.SIGINT, signal.SIGHUP
    )
    node = gateway.new_node(cfg)
    node.start()
    # Modules stay as long as the process, so collections need not visit them.
    gc.freeze()
    gc.enable()
    settings_file = _SettingsFile(path, node)
    eventlet.spawn(settings_file.watch)
    _wait_for_stop(received)
    # The grace period may have changed since the last poll.
    settings_file.apply_change()
    node.stop()
    eventlet.sleep(0)
    sys.stdout.flush()
    # The interpreter's finalization took 0.1 s, and 1.2 s on a machine with
    # three times as many busy processes as cores: beyond the grace period.
    os._exit(exit_codes.OK)


def _wait_for_stop(received: signals.SignalQueue) -> None:
    """Waits for SIGTERM or SIGINT.

    SIGHUP is ignored: the settings file is polled anyway.
    """
    while received.wait() == signal.SIGHUP:
        continue


class _SettingsFile:
    """Applies the settings file to a node whenever the file has changed."""

    __slots__ = ("_content", "_node", "_path")

    def __init__(self, path: str, node: gateway.Node):
        self._path = path
        self._node = node
        self._content = _read(path)

    def watch(self) -> None:
        """Applies every change."""
        while True:
            eventlet.sleep(SETTINGS_POLL_S)
            self.apply_change()

    def apply_change(self) -> None:
        """Applies the file if it has changed since the last call."""
        content = _read(self._path)
        if content in (self._content, b""):
            return
        self._content = content
        try:
            self._node.reload(_load(self._path))
        except ExceptionGroup as group:
            self._node.record_settings_error(
                "; ".join(map(str, group.exceptions))
            )


def _read(path: str) -> bytes:
    """Returns the file; empty if it is unreadable or being replaced."""
    try:
        with open(path, "rb") as file:
            return file.read()
    except OSError:
        return b""


def _load(path: str) -> conf.Settings:
    return conf.load_settings(path, os.environ, conf.GATEWAY_SECTIONS)
