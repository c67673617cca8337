"""Configurations of a soak; each allows something that no other does."""

from typing import Any

from savoryspar import fleet
from savoryspar.platform import standin

KEY = "soak-key"
"""API key that all configurations have."""


def moved_service(version: int) -> str:
    """Returns the service of the route ``moved`` in a configuration."""
    return f"targets-{version % 2}"


def version_key(version: int) -> str:
    """Returns the API key that only one configuration has."""
    return f"key-{version}"


def new_configuration(version: int) -> bytes:
    """Returns a configuration with a route and a key of its own.

    The route is named after the version. The service of the route ``moved``
    differs from that of the version before.
    """
    kinds = fleet.RouteKind

    def route(
        name: str, kind: fleet.RouteKind, service: str, **overrides: Any
    ) -> fleet.Route:
        values = {
            "host": "soak.example",
            "prefix": f"/{name}/",
            "timeout_s": 6.0,
            "objective_s": 1.0,
            "gap_objective_s": 0.4,
            "rank": 1,
            "attempts": 2,
            "is_public": False,
            "is_resumable": False,
            "stages": (),
        } | overrides
        return fleet.Route(
            name=name, kind=kind, services=[(service, 1.0)], **values
        )

    resumable = {"is_resumable": True}
    staged = {"stages": [fleet.Stage("stages", (), 1000)]}
    pool = fleet.StagePool(1, 2, 8, 0.03, 0.002, 1e6, 4.0)
    return standin.encode_configuration(
        version,
        [
            route("order", kinds.ONCE, "orders"),
            route("lookup", kinds.IDEMPOTENT, "lookups"),
            route("chat", kinds.STREAM, "engines"),
            route("resume", kinds.STREAM, "engines", **resumable),
            route("staged", kinds.STREAM, "engines", **staged),
            route("moved", kinds.IDEMPOTENT, moved_service(version)),
            route(f"v{version}", kinds.IDEMPOTENT, "lookups", is_public=True),
        ],
        [
            fleet.Service("orders", "", 64, None, None),
            fleet.Service("lookups", "", 64, None, None),
            fleet.Service("targets-0", "", 64, None, None),
            fleet.Service("targets-1", "", 64, None, None),
            fleet.Service(
                "engines", "", 64, None, fleet.EnginePool(8, 100_000)
            ),
            fleet.Service("stages", "", 64, pool, None),
        ],
        {
            key: fleet.Workspace(key, None)
            for key in (KEY, version_key(version))
        },
    )
