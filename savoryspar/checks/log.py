"""Checks of the section ``[log]``."""

from collections.abc import Iterable

from savoryspar import conf
from savoryspar.checks import registry


@registry.register("log.W001")
def check_sampling(cfg: conf.Settings) -> Iterable[registry.CheckMessage]:
    """Without decision lines a refusal cannot be explained."""
    if cfg.log.decision_sample_percent == 0:
        yield registry.warning(
            "log.W001",
            "[log] decision_sample_percent is 0",
            "give it at least 1",
        )
