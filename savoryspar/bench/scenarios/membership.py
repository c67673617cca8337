"""Scenarios of configuration propagation and of control traffic."""

import itertools
import re
import time

from savoryspar.bench import control_cost, deployments, results
from savoryspar.bench import fleet as fleet_lib

SIZES = ((9, 3), (50, 5), (200, 5))
"""Members and zones of each fleet; the design has zones of about 40 members."""

DESIGN_SIZE = 380
ENTRIES = 6
ZONES = ("andina-bog", "caribe-ctg", "pacifico-cali")
REFUSED_URL = "http://127.0.0.1:9"
CHANGES = 3
LIMIT_S = 10.0
POLL_S = 0.01
IN_FORCE = re.compile(r"Sheet in force\. revision=(\d+) ")
SHARE_ROW = "compania-grande,share,"


def configuration_spread(seed: int) -> list[results.Row]:
    """Measures how fast a revision spreads with the service down for half.

    Half of the entry processes have a configuration service that refuses
    connections. A watcher of the service is killed before the last change.
    """
    with fleet_lib.Fleet() as fleet:
        names = _start_fleet(fleet, half_refused=True)
        times_s = []
        for revision in range(2, 2 + CHANGES):
            if revision == 1 + CHANGES:
                names.remove(_kill_watcher(fleet, names))
            _publish_sheet(fleet, revision, is_delta=True)
            times_s.append(
                control_cost.wait_until(
                    lambda revision=revision: all(
                        revision in _revisions(fleet, name) for name in names
                    ),
                    LIMIT_S,
                    POLL_S,
                )
            )
    return [
        results.new_row(
            "config-spread",
            "configuration in effect, service down for half",
            "s",
            "<= 3",
            max(times_s),
            seed,
        )
    ]


def stale_service(seed: int) -> list[results.Row]:
    """Counts reversions to older revisions while the service is stale.

    The configuration service reverts from revision 4 to 2, a watcher is
    killed and a new entry process starts; then revision 5 is published.
    """
    with fleet_lib.Fleet() as fleet:
        names = _start_fleet(fleet, half_refused=False)
        for revision in (2, 4):
            _publish_sheet(fleet, revision)
            _wait_revision(fleet, names, revision)
        _publish_sheet(fleet, 2)
        names.remove(_kill_watcher(fleet, names))
        fleet.start_entry("late", ZONES[0], f"{ZONES[0]}-a")
        fleet.publish_vms()
        fleet.wait_ready("late")
        time.sleep(2.0)
        names.append("late")
        reverted = int(2 in _revisions(fleet, "late"))
        _publish_sheet(fleet, 5)
        _wait_revision(fleet, names, 5)
        reverted += sum(
            later < earlier
            for name in names
            for earlier, later in itertools.pairwise(_revisions(fleet, name))
        )
    return [
        results.new_row(
            "stale-service",
            "revisions that reverted",
            "count",
            "== 0",
            reverted,
            seed,
        )
    ]


def control_traffic(seed: int) -> list[results.Row]:
    """Measures bytes and CPU per member and extrapolates to the design size."""
    costs = control_cost.measure(SIZES, {}, seed)

    def at_design_size(field: str) -> float:
        # Small zones have more relays per member, so the line may fall; the
        # result is at least the value measured at the largest size.
        points = [(cost.size, getattr(cost, field)) for cost in costs]
        line = control_cost.extrapolate(points, DESIGN_SIZE)
        return max(line, points[-1][1])

    return [
        results.new_row(
            "control-traffic",
            "control traffic per node at 380 nodes",
            "KB/s",
            "<= 2",
            at_design_size("bytes_sent") / 1024,
            seed,
        ),
        results.new_row(
            "control-traffic",
            "control traffic of the busiest relay at 380 nodes",
            "KB/s",
            "<= 2",
            at_design_size("most_sent") / 1024,
            seed,
        ),
        results.new_row(
            "control-traffic",
            "control CPU per node at 380 nodes",
            "% core",
            "<= 1.6",
            at_design_size("cpu_percent"),
            seed,
        ),
    ]


def _start_fleet(fleet: fleet_lib.Fleet, half_refused: bool) -> list[str]:
    fleet.start_platform()
    _publish_sheet(fleet, 1)
    names = [f"entry-{number}" for number in range(ENTRIES)]
    for number, name in enumerate(names):
        region = ZONES[number % len(ZONES)]
        refused = {"platform": {"config_url": REFUSED_URL}}
        settings = refused if half_refused and number % 2 else {}
        fleet.start_entry(name, region, f"{region}-a", settings)
    # An entry process becomes ready only with a backend server in its list.
    fleet.start_backend(
        "pool", "programacion-0", "programacion", ZONES[0], f"{ZONES[0]}-a"
    )
    fleet.publish_vms()
    fleet.wait_ready(*names)
    time.sleep(1.5)
    return names


def _publish_sheet(
    fleet: fleet_lib.Fleet, revision: int, is_delta: bool = False
) -> None:
    fleet.publish_sheet(
        _sheet_text(revision),
        revision,
        _sheet_text(revision - 1) if is_delta else "",
    )


def _sheet_text(revision: int) -> str:
    text = deployments.GESTO.sheet_text()
    return text.replace(f"{SHARE_ROW}3", f"{SHARE_ROW}{revision}")


def _kill_watcher(fleet: fleet_lib.Fleet, names: list[str]) -> str:
    """Kills a process that watches the configuration service.

    Returns:
        The name of the process.

    Raises:
        RuntimeError: No entry process watches the service.
    """
    for name in names:
        lines = fleet.log_text(name).splitlines()
        watch_lines = [
            line for line in lines if "atching the configuration" in line
        ]
        if watch_lines and "Watching" in watch_lines[-1]:
            fleet.processes[name].kill()
            return name
    raise RuntimeError("no entry process watches the configuration service")


def _revisions(fleet: fleet_lib.Fleet, name: str) -> list[int]:
    return [int(found) for found in IN_FORCE.findall(fleet.log_text(name))]


def _wait_revision(
    fleet: fleet_lib.Fleet, names: list[str], revision: int
) -> None:
    control_cost.wait_until(
        lambda: all(revision in _revisions(fleet, name) for name in names),
        LIMIT_S,
        POLL_S,
    )
