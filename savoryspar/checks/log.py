"""Checks of the section ``[log]``."""

from collections.abc import Iterable

from savoryspar import conf
from savoryspar.checks import registry


@registry.register("log.W001")
def check_sampling(cfg: conf.Settings) -> Iterable[registry.CheckMessage]:
    """Without sampled decision lines, refusals cannot be explained."""
    if cfg.log.decision_sample_percent == 0:
        yield registry.warning(
            "log.W001",
            "[log] decision_sample_percent is 0",
            "set it to 1 or more",
        )
