"""Decodes the operator's configuration and entries of backend servers."""

from collections.abc import Mapping
import json
from typing import Any

from savoryspar import fleet

CONFIGURATION_PREFIX = "op/"
CONFIGURATION_KEY = "op/config"
"""Key of the operator's latest configuration."""
SERVER_PREFIX = "servers/"
"""Key prefix of the entries of backend servers; followed by the server ID."""

ROUTE_KINDS = {
    "safe": fleet.RouteKind.IDEMPOTENT,
    "unsafe": fleet.RouteKind.ONCE,
    "stream": fleet.RouteKind.STREAM,
}
DRAINING_BY_STATE = {"ready": False, "draining": True}
"""Whether a server is draining, by the state in its entry."""
MAX_VERSION_CHARS = 200


def decode_configuration(document: bytes) -> fleet.Configuration:
    """Decodes the document stored under ``op/config``.

    Raises:
        DocumentError: The document is malformed.
    """
    try:
        return _configuration(json.loads(document))
    except (ValueError, KeyError, TypeError, AttributeError) as exc:
        raise fleet.DocumentError(
            f"the configuration cannot be decoded: {exc!r}",
            "the previous version stays in force; check the published document",
        ) from exc


def _configuration(body: Mapping[str, Any]) -> fleet.Configuration:
    limits = body.get("limits") or {}
    return fleet.Configuration(
        version=int(body["version"]),
        routes=[_route(item) for item in body["routes"]],
        services={item["name"]: _service(item) for item in body["services"]},
        workspaces={
            key: workspace
            for item in body.get("tenants") or ()
            for workspace in [_workspace(item)]
            for key in item.get("api-keys") or ()
        },
        has_workspaces="tenants" in body,
        limits=fleet.CallerLimits(
            max_header_bytes=int(limits.get("max-header-bytes", 16384)),
            max_body_bytes=int(limits.get("max-body-bytes", 4194304)),
            header_timeout_s=limits.get("header-timeout-ms", 3000) / 1000.0,
            idle_timeout_s=limits.get("idle-timeout-ms", 15000) / 1000.0,
        ),
    )


def _workspace(item: Mapping[str, Any]) -> fleet.Workspace:
    return fleet.Workspace(item["name"], item.get("priority"))


def _route(item: Mapping[str, Any]) -> fleet.Route:
    split = item.get("split")
    services = (
        [(part["service"], float(part["weight"])) for part in split]
        if split
        else [(item["service"], 1.0)]
    )
    timeout_ms = item.get("timeout-ms") or 30000
    return fleet.Route(
        name=item["name"],
        host=item["host"].lower(),
        prefix=item["prefix"],
        kind=ROUTE_KINDS[item["route-kind"]],
        services=services,
        timeout_s=timeout_ms / 1000.0,
        objective_s=(item.get("goal-ms") or timeout_ms) / 1000.0,
        gap_objective_s=(item.get("gap-goal-ms") or 0) / 1000.0,
        rank=int(item.get("priority") or 0),
        attempts=max(1, int(item.get("attempts") or 1)),
        is_public=bool(item.get("public")),
        is_resumable=bool(item.get("resumable")),
        stages=[
            fleet.Stage(
                stage["service"], stage.get("after") or (), stage.get("data", 0)
            )
            for stage in item.get("phases") or ()
        ],
    )


def _service(item: Mapping[str, Any]) -> fleet.Service:
    return fleet.Service(
        name=item["name"],
        health_path=item.get("health-path", ""),
        max_connections=int(item.get("max-conns") or 64),
        stage_pool=_stage_pool(item.get("segments")),
        engine_pool=_engine_pool(item.get("engine")),
    )


def _stage_pool(item: Mapping[str, Any] | None) -> fleet.StagePool | None:
    if not item:
        return None
    return fleet.StagePool(
        slots=int(item["slots"]),
        queue=int(item["queue"]),
        batch=int(item["batch"]),
        call_s=item["call-ms"] / 1000.0,
        piece_s=item["item-ms"] / 1000.0,
        room_bytes=item["room-mb"] * 1e6,
        result_ttl_s=float(item["handle-ttl-s"]),
    )


def _engine_pool(item: Mapping[str, Any] | None) -> fleet.EnginePool | None:
    if not item:
        return None
    return fleet.EnginePool(int(item["slots"]), int(item["kv-cap"]))


def decode_backend_entry(
    name: str, value: bytes, revision: int
) -> fleet.BackendEntry:
    """Decodes an entry stored under ``servers/``.

    Args:
        name: ID of the server.
        value: JSON document of the entry.
        revision: Store revision of the entry.

    Raises:
        DocumentError: A field is missing or has the wrong type, or the state
            is unknown; the server of such an entry cannot be used.
    """
    try:
        item = json.loads(value)
        address = item["addr"]
        host, _, port = address.rpartition(":")
        if not host or not 0 < int(port) < 65536:
            raise ValueError(address)
        texts = [item["service"], item["zone"]]
        slots = item.get("slots", 1)
        started_ms = item.get("born", 0)
        if not all(isinstance(text, str) and text for text in texts):
            raise TypeError("service and zone must be non-empty strings")
        if type(slots) is not int or type(started_ms) is not int:
            raise TypeError("slots and born must be integers")
        is_draining = DRAINING_BY_STATE[item["state"]]
        version = _version(item)
    except (ValueError, KeyError, TypeError, AttributeError) as exc:
        raise fleet.DocumentError(
            f"the entry of {name} cannot be decoded: {exc!r}",
            "the entry is ignored; check the program that wrote it",
        ) from exc
    return fleet.BackendEntry(
        name=name,
        service=texts[0],
        address=address,
        zone=texts[1],
        slots=slots,
        is_draining=is_draining,
        started_ms=started_ms,
        revision=revision,
        version=version,
    )


def _version(item: Mapping[str, Any]) -> str:
    """Returns the versions of a server's software and of its models.

    They only tell servers apart, so malformed ones make a version of their own.
    """
    models = item.get("models")
    weights = [
        f"{loaded.get('name')}:{loaded.get('version')}"
        for loaded in (models if isinstance(models, list) else ())
        if isinstance(loaded, dict)
    ]
    text = " ".join([str(item.get("version", "")), *sorted(weights)])
    return text.strip()[:MAX_VERSION_CHARS]
