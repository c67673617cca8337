"""``savoryspar standin``."""

from cleo.commands import command
from cleo.helpers import argument, option

from savoryspar import conf, log
from savoryspar.cli import exit_codes
from savoryspar.standins import (
    engine,
    fault_proxy,
    members,
    plain_relay,
    platform,
    pool,
    token_source,
    weights,
    wsgi,
)


class StandinCommand(command.Command):
    """Run a stand-in for an external system."""

    name = "standin"
    description = "Run a stand-in: engine, pool, service or platform."
    arguments = [
        argument("kind", "engine, pool, service, platform or members.")
    ]
    options = [
        option("name", None, "Name of the server.", flag=False, default="s1"),
        option("port", None, "TCP port.", flag=False, default="0"),
        option("step-ms", None, "Time per token.", flag=False, default="5"),
        option("max-batch", None, "Batch size.", flag=False, default="16"),
        option("work-ms", None, "Time per call.", flag=False, default="5"),
        option("rate", None, "Calls per second.", flag=False, default="2000"),
        option(
            "cache-blocks", None, "Prefix cache.", flag=False, default="1024"
        ),
        option(
            "prefill-us", None, "Time per new token.", flag=False, default="0"
        ),
        option("target", None, "IP:port to forward to.", flag=False),
        option("groups", None, "Batches.", flag=False, default="8"),
        option("seed", None, "Seed.", flag=False, default="1"),
        option("config", None, "Settings file of members.", flag=False),
        option("zones", None, "Zones of members.", flag=False, default="1"),
        option("first", None, "First member.", flag=False, default="0"),
        option("count", None, "Members.", flag=False, default="1"),
    ]
    help = "Example: savoryspar standin engine --port 9001 --step-ms 10"

    def handle(self) -> int:
        """Runs the command."""
        factories = {
            "engine": lambda: engine.new_engine(
                self.option("name"),
                float(self.option("step-ms")),
                int(self.option("max-batch")),
                int(self.option("seed")),
                int(self.option("cache-blocks")),
                float(self.option("prefill-us")),
            ),
            "pool": self._new_pool_server,
            "service": self._new_pool_server,
            "platform": lambda: platform.new_platform(int(self.option("rate"))),
            "members": self._new_members,
            "weights": lambda: weights.new_weight_store(
                int(self.option("rate"))
            ),
            "plain-relay": lambda: plain_relay.new_plain_relay(
                self.option("target")
            ),
            "token-source": lambda: token_source.new_token_source(
                float(self.option("step-ms")), int(self.option("groups"))
            ),
        }
        kind = self.argument("kind")
        if kind == "fault-proxy":
            return self._serve_fault_proxy()
        if kind not in factories:
            self.line_error(
                f"unknown stand-in {kind!r}; use {[*factories, 'fault-proxy']}"
            )
            return exit_codes.USAGE
        server = factories[kind]()
        wsgi.serve("127.0.0.1", int(self.option("port")), server.handle)
        return exit_codes.OK

    def _new_members(self) -> members.Members:
        cfg = conf.load_settings(self.option("config") or "", {})
        log.configure(cfg.log.level, cfg.log.format)
        return members.new_members(
            cfg,
            int(self.option("zones")),
            int(self.option("first")),
            int(self.option("count")),
        )

    def _serve_fault_proxy(self) -> int:
        proxy = fault_proxy.new_fault_proxy(
            self.option("target"),
            int(self.option("seed")),
            int(self.option("port")),
        )
        self.line(f"listening {proxy.port}")
        self.io.output.flush()
        wsgi.serve("127.0.0.1", 0, proxy.handle, "control")
        return exit_codes.OK

    def _new_pool_server(self) -> pool.PoolServer:
        return pool.new_pool_server(
            self.option("name"), float(self.option("work-ms"))
        )
