"""``savoryspar serve``."""

import os
import signal

from cleo.commands import command
from cleo.helpers import option
import eventlet

from savoryspar import conf, gateway
from savoryspar.cli import exit_codes, faults, signals

SETTINGS_VARIABLE = "SAVORYSPAR_NODE_FILE"
"""Environment variable in which the platform names the settings file."""
SETTINGS_POLL_S = 1.0
"""The settings file may change without a signal."""


class ServeCommand(command.Command):
    """Serve callers on the users' platform."""

    name = "serve"
    description = "Serve callers on an entry VM of the users' platform."
    options = [option("config", "c", "Settings file.", flag=False)]
    help = "Example: savoryspar serve --config entry.ini"

    def handle(self) -> int:
        """Runs the command until SIGTERM."""
        path = self.option("config") or os.environ.get(SETTINGS_VARIABLE, "")
        try:
            cfg = _load(path)
        except ExceptionGroup as group:
            faults.print_faults(self, group)
            return exit_codes.USAGE
        arrived = signals.new_signal_queue(
            signal.SIGTERM, signal.SIGINT, signal.SIGHUP
        )
        node = gateway.new_node(cfg)
        node.start()
        eventlet.spawn(_follow_settings, path, node)
        _wait_for_end(arrived)
        node.stop()
        eventlet.sleep(0)
        return exit_codes.OK


def _wait_for_end(arrived: signals.SignalQueue) -> None:
    """Waits for SIGTERM or SIGINT; SIGHUP only hints at changed settings."""
    while arrived.wait() == signal.SIGHUP:
        continue


def _follow_settings(path: str, node: gateway.Node) -> None:
    """Reads the settings again whenever their file has changed."""
    known = _read(path)
    while True:
        eventlet.sleep(SETTINGS_POLL_S)
        text = _read(path)
        if text in (known, ""):
            continue
        known = text
        try:
            node.reload(_load(path))
        except ExceptionGroup as group:
            node.record_settings_error("; ".join(map(str, group.exceptions)))


def _read(path: str) -> str:
    """Returns the file's text, empty while it is being replaced."""
    try:
        with open(path, encoding="utf-8") as file:
            return file.read()
    except OSError:
        return ""


def _load(path: str) -> conf.Settings:
    return conf.load_settings(path, os.environ, conf.GATEWAY_SECTIONS)
