"""``savoryspar entry``."""

import os
import signal

from cleo.commands import command
from cleo.helpers import option
import eventlet

from savoryspar import checks, conf, errors, log
from savoryspar.cli import exit_codes, faults, node, signals, wiring


class EntryCommand(command.Command):
    """Serve callers."""

    name = "entry"
    description = "Serve callers on this entry VM."
    options = [option("config", "c", "Settings file.", flag=False)]
    help = "Example: savoryspar entry --config entry.ini"

    def handle(self) -> int:
        """Runs until SIGTERM or SIGINT; a second one skips the drain notice."""
        try:
            cfg = conf.load_settings(self.option("config") or "", os.environ)
        except ExceptionGroup as group:
            faults.print_faults(self, group)
            return exit_codes.USAGE
        log.configure(cfg.log.level, cfg.log.format)
        if not self._passes_checks(cfg):
            return exit_codes.USAGE
        try:
            entry_node = wiring.new_node(cfg)
        except errors.SavorysparError as exc:
            self.line_error(str(exc))
            return exit_codes.USAGE
        stop_signals = signals.new_signal_queue(signal.SIGTERM, signal.SIGINT)
        entry_node.start()
        port = entry_node.server.address[1]
        self.line(f"listening {port} peers {entry_node.peer_port}")
        self.io.output.flush()
        eventlet.spawn(_handle_signals, stop_signals, entry_node)
        entry_node.stop_requested.wait()
        entry_node.stop()
        eventlet.sleep(0)
        return exit_codes.OK

    def _passes_checks(self, cfg: conf.Settings) -> bool:
        messages = checks.run_checks(cfg)
        for message in messages:
            self.line_error(f"{message.level.value} {message}")
        return all(m.level is not checks.Level.ERROR for m in messages)


def _handle_signals(
    stop_signals: signals.SignalQueue, entry_node: node.Node
) -> None:
    """Requests a stop at the first signal; later ones skip the drain notice."""
    stop_signals.wait()
    entry_node.request_stop()
    while True:
        stop_signals.wait()
        entry_node.skip_drain_notice()
