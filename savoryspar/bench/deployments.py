"""The two example deployments, as fleets of processes."""

from collections.abc import Mapping
import pathlib

from savoryspar.bench import fleet as fleet_lib

EXAMPLES = pathlib.Path(__file__).resolve().parents[2] / "examples"


class Deployment:
    """An example deployment.

    Attributes:
        name: Folder below ``examples``.
        regions: Regions; each has one availability zone, ``REGION-a``.
        pools: Number of backend servers by (pool, kind of stand-in).
        order_pool: Pool whose servers run orders and record the runs.
    """

    __slots__ = ("name", "order_pool", "pools", "regions")

    def __init__(
        self,
        name: str,
        regions: tuple[str, ...],
        pools: Mapping[tuple[str, str], int],
        order_pool: str,
    ):
        self.name = name
        self.regions = regions
        self.pools = pools
        self.order_pool = order_pool

    def sheet_text(self) -> str:
        """Returns the deployment's sheet in CSV."""
        return (EXAMPLES / self.name / "sheet.csv").read_text("utf-8")


GESTO = Deployment(
    "gesto",
    ("andina-bog", "caribe-ctg", "pacifico-cali"),
    {
        ("jurado-lm", "engine"): 9,
        ("inscripciones", "service"): 3,
        ("programacion", "pool"): 3,
        ("voluntarios", "pool"): 3,
        ("archivo", "pool"): 3,
    },
    "inscripciones",
)
BOKBINDERI = Deployment(
    "bokbinderi",
    ("boras-hall", "vaxjo-floor", "umea-floor"),
    {
        ("savory-pool", "engine"): 9,
        ("runbook", "pool"): 3,
        ("threadstock", "pool"): 3,
        ("glueline", "pool"): 3,
        ("dispatch", "service"): 3,
    },
    "dispatch",
)


def start(
    deployment: Deployment,
    fleet: fleet_lib.Fleet,
    entries: int = 3,
    backends_share: float = 1.0,
    settings: Mapping[str, Mapping[str, object]] = {},
) -> list[fleet_lib.Process]:
    """Starts a deployment and returns its entry processes once ready.

    Args:
        deployment: Deployment to start.
        fleet: Fleet that runs the processes.
        entries: Number of entry processes, spread over the regions.
        backends_share: Share of each pool's servers to start, at least one.
        settings: Settings of the entry processes, by section.
    """
    fleet.start_platform()
    fleet.publish_sheet(deployment.sheet_text(), revision=1)
    for (pool, kind), count in deployment.pools.items():
        for number in range(max(1, round(count * backends_share))):
            region = deployment.regions[number % len(deployment.regions)]
            fleet.start_backend(
                kind, f"{pool}-{number}", pool, region, f"{region}-a"
            )
    started = []
    for number in range(entries):
        region = deployment.regions[number % len(deployment.regions)]
        name = f"{deployment.name}-entry-{number}"
        started.append(fleet.start_entry(name, region, f"{region}-a", settings))
    fleet.publish_vms()
    fleet.wait_ready(*(process.name for process in started))
    return started
