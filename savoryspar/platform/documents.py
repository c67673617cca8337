"""Decodes the operator's configuration and entries of backend servers."""

from collections.abc import Mapping
from typing import Any

from savoryspar import decoding, fleet
from savoryspar.platform import store

CONFIGURATION_PREFIX = "op/"
CONFIGURATION_KEY = "op/config"
"""Key of the operator's latest configuration."""
EVACUATION_PREFIX = "op/evacuate/"
"""Key prefix of the evacuated availability zones; followed by the zone."""
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
MAX_CONFIGURATION_BYTES = 8 << 20
MAX_ENTRY_BYTES = 1 << 16
"""Entries of servers have less than 1 KB."""
MAX_PATTERN_CHARS = 4000
"""Limit for names, hosts and path prefixes of a configuration."""
MAX_COUNT = 1 << 53
"""Limit for slots, queues, ranks and sizes in tokens or bytes."""
MAX_DURATION_MS = 1e10
MAX_RESULT_BYTES = 1e15
MAX_WEIGHT = 1e9
MAX_SLOTS = 1 << 20
MAX_COLD_RATE_PER_S = 1e6
MAX_STARTED_MS = 1 << 53
"""Limit for the start of a server, in milliseconds of Unix time."""


def decode_configuration(document: bytes) -> fleet.Configuration:
    """Decodes the document stored under ``op/config``.

    Raises:
        DocumentError: The document is malformed.
    """
    try:
        body = decoding.decode_json(document, MAX_CONFIGURATION_BYTES)
        with decoding.reading("a field"):
            return _configuration(body)
    except decoding.DecodingError as exc:
        raise fleet.DocumentError(
            f"the configuration cannot be decoded: {exc}",
            "the previous version stays in force; check the published document",
        ) from exc


def _configuration(body: Mapping[str, Any]) -> fleet.Configuration:
    limits = body.get("limits") or {}
    return fleet.Configuration(
        version=decoding.integer(body["version"], 1),
        routes=[_route(item) for item in body["routes"]],
        services={
            service.name: service for service in map(_service, body["services"])
        },
        workspaces={
            _optional_pattern(key): workspace
            for item in body.get("tenants") or ()
            for workspace in [_workspace(item)]
            for key in item.get("api-keys") or ()
        },
        has_workspaces="tenants" in body,
        limits=fleet.CallerLimits(
            max_header_bytes=_count(limits.get("max-header-bytes", 16384)),
            max_body_bytes=_count(limits.get("max-body-bytes", 4194304)),
            header_timeout_s=_seconds(limits.get("header-timeout-ms", 3000)),
            idle_timeout_s=_seconds(limits.get("idle-timeout-ms", 15000)),
        ),
    )


def _count(value: Any, minimum: int = 0) -> int:
    decoding.number(value, minimum, MAX_COUNT)
    return int(value)


def _seconds(milliseconds: Any) -> float:
    return decoding.number(milliseconds, 0, MAX_DURATION_MS) / 1000.0


def _pattern(value: Any) -> str:
    return decoding.text(value, MAX_PATTERN_CHARS)


def _optional_pattern(value: Any) -> str:
    return "" if value == "" else _pattern(value)


def _workspace(item: Mapping[str, Any]) -> fleet.Workspace:
    rank = item.get("priority")
    name = _pattern(item["name"])
    # The name is sent to servers in a header field.
    name.encode("latin-1")
    return fleet.Workspace(
        name, None if rank is None else _rank(rank), _home_regions(item)
    )


def _home_regions(item: Mapping[str, Any]) -> frozenset[str]:
    """Returns the home regions of a route or workspace, empty for none.

    Raises:
        DecodingError: They are malformed. Without them, requests would be
            served in regions that the operator has excluded.
    """
    regions = item.get("home-regions")
    if regions is None:
        return frozenset()
    if not isinstance(regions, list):
        raise decoding.DecodingError("home-regions is not a list")
    return frozenset(map(_pattern, regions))


def _rank(value: Any) -> int:
    return _count(value, -MAX_COUNT)


def _route(item: Mapping[str, Any]) -> fleet.Route:
    timeout_ms = item.get("timeout-ms") or 30000
    stages = item.get("phases") or ()
    return fleet.Route(
        name=_pattern(item["name"]),
        host=_optional_pattern(item["host"]).lower(),
        prefix=_pattern(item["prefix"]),
        kind=ROUTE_KINDS[item["route-kind"]],
        services=_services(item),
        timeout_s=_seconds(timeout_ms),
        objective_s=_seconds(item.get("goal-ms") or timeout_ms),
        gap_objective_s=_seconds(item.get("gap-goal-ms") or 0),
        rank=_rank(item.get("priority") or 0),
        attempts=max(1, _count(item.get("attempts") or 1)),
        is_public=bool(item.get("public")),
        is_resumable=bool(item.get("resumable")),
        stages=[_stage(stage, len(stages)) for stage in stages],
        home_regions=_home_regions(item),
    )


def _services(route: Mapping[str, Any]) -> list[tuple[str, float]]:
    """Returns the names and weights of a route's services."""
    split = route.get("split")
    if not split:
        return [(_pattern(route["service"]), 1.0)]
    services = [
        (
            _pattern(part["service"]),
            decoding.number(part["weight"], 0, MAX_WEIGHT),
        )
        for part in split
    ]
    if not any(weight for _, weight in services):
        raise decoding.DecodingError("a split has no weight above 0")
    return services


def _stage(item: Mapping[str, Any], stage_count: int) -> fleet.Stage:
    return fleet.Stage(
        _pattern(item["service"]),
        [
            decoding.integer(number, 0, stage_count - 1)
            for number in item.get("after") or ()
        ],
        int(decoding.number(item.get("data", 0), 0, MAX_RESULT_BYTES)),
    )


def _service(item: Mapping[str, Any]) -> fleet.Service:
    health_path = item.get("health-path", "")
    return fleet.Service(
        name=_pattern(item["name"]),
        health_path=_pattern(health_path) if health_path else "",
        max_connections=_count(item.get("max-conns") or 64),
        stage_pool=_stage_pool(item.get("segments")),
        engine_pool=_engine_pool(item.get("engine")),
        cold_start_s=_optional(item, "cold-start-s", fleet.MAX_COLD_S) or 0.0,
        cold_per_s=_optional(item, "cold-per-s", MAX_COLD_RATE_PER_S) or 0.0,
    )


def _optional(
    item: Mapping[str, Any], field: str, maximum: float
) -> float | None:
    """Returns a number from 0 to a maximum, None if absent or malformed."""
    try:
        return float(decoding.number(item[field], 0, maximum))
    except (decoding.DecodingError, *decoding.ERRORS):
        return None


def _stage_pool(item: Mapping[str, Any] | None) -> fleet.StagePool | None:
    if not item:
        return None
    room_mb = decoding.number(item["room-mb"], 0, MAX_RESULT_BYTES / 1e6)
    return fleet.StagePool(
        slots=_count(item["slots"]),
        queue=_count(item["queue"]),
        batch=_count(item["batch"], 1),
        call_s=_seconds(item["call-ms"]),
        piece_s=_seconds(item["item-ms"]),
        room_bytes=room_mb * 1e6,
        result_ttl_s=_seconds(item["handle-ttl-s"] * 1000.0),
    )


def _engine_pool(item: Mapping[str, Any] | None) -> fleet.EnginePool | None:
    if not item:
        return None
    return fleet.EnginePool(_count(item["slots"]), _count(item["kv-cap"]))


def decode_server_item(item: store.Item) -> fleet.BackendEntry:
    """Decodes the entry in an item under ``servers/``.

    Raises:
        DocumentError: The key, the value or a field is malformed.
    """
    name = item.key.removeprefix(SERVER_PREFIX)
    if item.fault:
        raise _invalid_entry(name, item.fault)
    return decode_backend_entry(name, item.value or b"", item.revision)


def decode_evacuated_zone(item: store.Item) -> str:
    """Decodes the name of the zone in a key under ``op/evacuate/``.

    The value does not matter, also if it is malformed.

    Raises:
        DocumentError: The name is malformed.
    """
    name = item.key.removeprefix(EVACUATION_PREFIX)
    try:
        # A key that cannot be decoded is shown with replaced characters.
        if item.fault and ("?" in name or len(item.key) >= store.MAX_KEY_BYTES):
            raise decoding.DecodingError(item.fault)
        return decoding.text(name)
    except decoding.DecodingError as exc:
        raise _invalid_entry(item.key, exc) from exc


def decode_peer_item(row: Any) -> store.Item:
    """Decodes an item that a peer propagated, with its key and revision.

    Raises:
        DocumentError: It is malformed.
    """
    try:
        with decoding.reading("an item"):
            key, value, revision = row
            if not isinstance(key, str) or not isinstance(value, bytes | None):
                raise decoding.DecodingError("the key or value is malformed")
            return store.Item(key, value, decoding.integer(revision, 0))
    except decoding.DecodingError as exc:
        raise _invalid_entry(row, exc) from exc


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
        item = decoding.decode_json(value, MAX_ENTRY_BYTES)
        with decoding.reading("a field"):
            return _backend_entry(
                name,
                item["service"],
                item["addr"],
                item["zone"],
                item.get("slots", 1),
                DRAINING_BY_STATE[item["state"]],
                item.get("born", 0),
                revision,
                _version(item),
                _cold_left_s(item),
            )
    except decoding.DecodingError as exc:
        raise _invalid_entry(name, exc) from exc


def _cold_left_s(item: Mapping[str, Any]) -> float | None:
    left_ms = _optional(item, "cold-left-ms", 1000.0 * fleet.MAX_COLD_S)
    return None if left_ms is None else left_ms / 1000.0


def decode_peer_entry(
    row: Any,
    versions: Mapping[str, Any],
    cold: Mapping[str, float] | None = None,
) -> fleet.BackendEntry:
    """Decodes an entry that a peer sent, as ``encode_peer_entry`` returns it.

    Args:
        row: The entry.
        versions: Versions of the peer's servers by name.
        cold: Remaining times of cold phases that the entries of the peer's
            servers told, in seconds, by name.

    Raises:
        DocumentError: It is malformed; a peer of another version may accept
            other entries.
    """
    try:
        with decoding.reading("a field"):
            name, service, address, zone, slots, is_draining, *rest = row
            started_ms, revision = rest
            return _backend_entry(
                name,
                service,
                address,
                zone,
                slots,
                bool(is_draining),
                started_ms,
                revision,
                str(versions.get(name, ""))[:MAX_VERSION_CHARS],
                (cold or {}).get(name),
            )
    except decoding.DecodingError as exc:
        raise _invalid_entry(row, exc) from exc


def decode_peer_removal(row: Any) -> tuple[str, int]:
    """Decodes the name and the revision of a removed server from a peer.

    Raises:
        DocumentError: They are malformed.
    """
    try:
        with decoding.reading("a removal"):
            name, revision = row
            return decoding.text(name), decoding.integer(revision, 0)
    except decoding.DecodingError as exc:
        raise _invalid_entry(row, exc) from exc


def encode_peer_entry(entry: fleet.BackendEntry) -> list[Any]:
    """Returns an entry as the list that is sent to peers, without versions."""
    return [
        entry.name,
        entry.service,
        entry.address,
        entry.zone,
        entry.slots,
        entry.is_draining,
        entry.started_ms,
        entry.revision,
    ]


def _backend_entry(
    name: Any,
    service: Any,
    address: Any,
    zone: Any,
    slots: Any,
    is_draining: bool,
    started_ms: Any,
    revision: Any,
    version: str,
    cold_left_s: float | None,
) -> fleet.BackendEntry:
    return fleet.BackendEntry(
        name=decoding.token(name),
        service=decoding.text(service),
        address=decoding.address(address),
        zone=decoding.text(zone),
        slots=decoding.integer(slots, 1, MAX_SLOTS),
        is_draining=is_draining,
        started_ms=decoding.integer(started_ms, 0, MAX_STARTED_MS),
        revision=decoding.integer(revision, 0),
        version=version,
        cold_left_s=cold_left_s,
    )


def _invalid_entry(name: Any, cause: Exception | str) -> fleet.DocumentError:
    return fleet.DocumentError(
        f"the entry of {name!r:.80} cannot be decoded: {cause}",
        "the entry is ignored; check the program that wrote it",
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
