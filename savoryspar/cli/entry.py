"""``savoryspar entry``."""

import os
import signal

from cleo.commands import command
from cleo.helpers import option
import eventlet
from eventlet import event

from savoryspar import conf, errors, log
from savoryspar.cli import exit_codes, faults, wiring


class EntryCommand(command.Command):
    """Serve callers."""

    name = "entry"
    description = "Serve callers on this entry VM."
    options = [option("config", "c", "Settings file.", flag=False)]
    help = "Example: savoryspar entry --config entry.ini"

    def handle(self) -> int:
        """Runs the command until SIGTERM."""
        try:
            cfg = conf.load_settings(self.option("config") or "", os.environ)
        except ExceptionGroup as group:
            faults.print_faults(self, group)
            return exit_codes.USAGE
        log.configure(cfg.log.level, cfg.log.format)
        try:
            node = wiring.new_node(cfg)
        except errors.SavorysparError as exc:
            self.line_error(str(exc))
            return exit_codes.USAGE
        stopped = event.Event()
        node.start()
        self.line(f"listening {node.server.address[1]} peers {node.peer_port}")
        self.io.output.flush()

        def on_signal(number: int, frame: object) -> None:
            del number, frame
            if not stopped.ready():
                stopped.send(None)

        signal.signal(signal.SIGTERM, on_signal)
        signal.signal(signal.SIGINT, on_signal)
        stopped.wait()
        node.stop()
        eventlet.sleep(0)
        return exit_codes.OK
