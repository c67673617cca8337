"""``savoryspar entry``."""

import os
import signal

from cleo.commands import command
from cleo.helpers import option
import eventlet

from savoryspar import conf, log
from savoryspar.cli import exit_codes, faults, signals, wiring


class EntryCommand(command.Command):
    """Serve callers."""

    name = "entry"
    description = "Serve callers on this entry VM."
    options = [option("config", "c", "Settings file.", flag=False)]
    help = "Example: savoryspar entry --config entry.ini"

    def handle(self) -> int:
        """Runs the command until SIGTERM; a second one shortens the notice."""
        try:
            cfg = conf.load_settings(self.option("config") or "", os.environ)
        except ExceptionGroup as group:
            faults.print_faults(self, group)
            return exit_codes.USAGE
        log.configure(cfg.log.level, cfg.log.format)
        node = wiring.new_node(cfg)
        stops = signals.new_signal_queue(signal.SIGTERM, signal.SIGINT)
        node.start()
        self.line(f"listening {node.server.address[1]}")
        self.io.output.flush()
        stops.wait()
        eventlet.spawn(_hasten, stops, node)
        node.stop()
        eventlet.sleep(0)
        return exit_codes.OK


def _hasten(stops: signals.SignalQueue, node: wiring.Node) -> None:
    """Ends the notice at the second signal; requests still finish."""
    while True:
        stops.wait()
        node.hasten()
