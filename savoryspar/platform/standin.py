"""Peer side of the platform's protocols, for stand-ins and test callers.

Encodes what the rest of the package decodes, and decodes what it encodes.
"""

import base64
from collections.abc import Callable, Iterable, Mapping, Sequence
import json
from typing import Any, Protocol
from urllib import parse

from savoryspar import fleet
from savoryspar.platform import documents, headers, store

NAMES_BY_ROUTE_KIND = {
    kind: name for name, kind in documents.ROUTE_KINDS.items()
}
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Status codes of an entry VM that mean that a request did not run."""


class StoreContents(Protocol):
    """Contents of a stand-in for the store.

    Attributes:
        revision: Revision of the last change.
        era: Number of times that it came back from a copy; 0 if it does not
            tell.
    """

    revision: int
    era: int

    def read(self, prefix: str) -> Sequence[store.Item]:
        """Returns the items whose keys have a prefix, ordered by key."""

    def wait(
        self, prefix: str, after: int, wait_s: float
    ) -> Sequence[store.Item] | None:
        """Waits for changes after a revision; None if no longer kept."""


class Send:
    """A send that a backend server received, decoded from its environ."""

    __slots__ = (
        "attempt_id",
        "body",
        "expected_server",
        "inputs",
        "path",
        "resume_after",
    )

    def __init__(self, environ: Mapping[str, Any]):
        def get(name: str) -> str:
            return environ.get("HTTP_" + name.upper().replace("-", "_"), "")

        self.path = str(environ["PATH_INFO"])
        self.attempt_id = get(headers.ATTEMPT_ID)
        self.expected_server = get(headers.EXPECT_SERVER)
        self.inputs = [h for h in get(headers.INPUTS).split(",") if h]
        self.resume_after = int(get(headers.RESUME_AFTER) or -1)
        self.body: bytes = environ["wsgi.input"].read()


def encode_configuration(
    version: int,
    routes: Iterable[fleet.Route],
    services: Iterable[fleet.Service],
    workspaces: Mapping[str, fleet.Workspace],
) -> bytes:
    """Encodes a configuration.

    Args:
        version: Version of the configuration.
        routes: All routes.
        services: All services.
        workspaces: Workspaces by the API key that callers send.
    """
    return json.dumps(
        {
            "version": version,
            "routes": [_route(route) for route in routes],
            "services": [_service(service) for service in services],
            "tenants": [
                {
                    "name": workspace.name,
                    "api-keys": [key],
                    **_home_regions(workspace),
                }
                for key, workspace in workspaces.items()
            ],
            "limits": {},
        }
    ).encode()


def _route(route: fleet.Route) -> dict[str, Any]:
    return {
        "name": route.name,
        "host": route.host,
        "prefix": route.prefix,
        "route-kind": NAMES_BY_ROUTE_KIND[route.kind],
        "service": route.services[0][0],
        "timeout-ms": int(route.timeout_s * 1000),
        "goal-ms": int(route.objective_s * 1000),
        "gap-goal-ms": int(route.gap_objective_s * 1000),
        "priority": route.rank,
        "attempts": route.attempts,
        "public": route.is_public,
        "resumable": route.is_resumable,
        "phases": [
            {"service": s.service, "after": [*s.after], "data": s.result_bytes}
            for s in route.stages
        ],
        **_home_regions(route),
    }


def _home_regions(item: fleet.Route | fleet.Workspace) -> dict[str, Any]:
    """Returns the field of the home regions, which is absent without any."""
    if not item.home_regions:
        return {}
    return {"home-regions": sorted(item.home_regions)}


def _service(service: fleet.Service) -> dict[str, Any]:
    item: dict[str, Any] = {
        "name": service.name,
        "max-conns": service.max_connections,
    }
    pool = service.stage_pool
    if pool:
        item["segments"] = {
            "slots": pool.slots,
            "queue": pool.queue,
            "batch": pool.batch,
            "call-ms": pool.call_s * 1000.0,
            "item-ms": pool.piece_s * 1000.0,
            "room-mb": pool.room_bytes / 1e6,
            "handle-ttl-s": pool.result_ttl_s,
        }
    if service.engine_pool:
        item["engine"] = {
            "slots": service.engine_pool.slots,
            "kv-cap": service.engine_pool.memory_tokens,
        }
    return item


def encode_backend_entry(entry: fleet.BackendEntry) -> bytes:
    """Encodes the entry of a backend server."""
    return json.dumps(
        {
            "service": entry.service,
            "addr": entry.address,
            "zone": entry.zone,
            "slots": entry.slots,
            "state": "draining" if entry.is_draining else "ready",
            "born": entry.started_ms,
            "version": entry.version,
        }
    ).encode()


def serve_store(
    contents: StoreContents, environ: Mapping[str, Any]
) -> tuple[str, list[tuple[str, str]], bytes]:
    """Answers a request to the store.

    Returns:
        Status line, header fields and body.
    """
    status, body = _serve_store(contents, environ)
    fields = [("Content-Type", "application/json")]
    if contents.era:
        fields.append((headers.STORE_ERA, str(contents.era)))
    return status, fields, body


def _serve_store(
    contents: StoreContents, environ: Mapping[str, Any]
) -> tuple[str, bytes]:
    query = dict(parse.parse_qsl(str(environ["QUERY_STRING"])))
    path = environ["PATH_INFO"]
    body: dict[str, Any]
    if path == "/-/kv-watch":
        changes = contents.wait(
            query["prefix"], int(query["after"]), int(query["wait-ms"]) / 1000.0
        )
        if changes is None:
            return "410 Gone", b"{}"
        body = {"events": [_item(item) for item in changes]}
    elif path == "/-/kv-range":
        after = query.get("after", "")
        items = [i for i in contents.read(query["prefix"]) if i.key > after]
        body = {"entries": [_item(item) for item in items], "truncated": False}
    else:
        found = [
            i for i in contents.read(query["key"]) if i.key == query["key"]
        ]
        if not found:
            as_of = json.dumps({"as-of": contents.revision})
            return "404 Not Found", as_of.encode()
        body = _item(found[0])
    return "200 OK", json.dumps({**body, "as-of": contents.revision}).encode()


def _item(item: store.Item) -> dict[str, Any]:
    if item.value is None:
        return {"key": item.key, "revision": item.revision, "deleted": True}
    return {
        "key": item.key,
        "value": base64.b64encode(item.value).decode(),
        "revision": item.revision,
        "created": item.revision,
        "lease": 0,
    }


def encode_seal(text: str) -> list[tuple[str, str]]:
    """Returns the answer fields of a server that ran a request."""
    return [(headers.SEAL, text)]


def decode_seal(fields: Mapping[str, str]) -> str:
    """Returns the stamp in the answer that a caller received."""
    return fields.get(headers.SEAL, "")


def encode_attempt_id(attempt_id: str) -> list[tuple[str, str]]:
    """Returns the answer fields that name the attempt of the request."""
    return [(headers.ATTEMPT_ID, attempt_id)]


def encode_expected_server(name: str) -> list[tuple[str, str]]:
    """Returns the request fields that name the server that may run it."""
    return [(headers.EXPECT_SERVER, name)]


def encode_not_run() -> list[tuple[str, str]]:
    """Returns the answer fields of a server that did not run a request."""
    return [(headers.NOT_RUN, "1")]


def encode_limit(limit_per_s: float) -> list[tuple[str, str]]:
    """Returns the answer fields of a server that names a rate limit."""
    return [(headers.LIMIT, f"{limit_per_s:g}")]


def serve_stage_call(
    body: bytes, new_handle: Callable[[str, int, int], str]
) -> tuple[bytes, int]:
    """Answers a call that runs pieces or frees results.

    Args:
        body: Body of the call.
        new_handle: Returns the handle of a piece's result, given the request
            ID, the stage and the number of the piece.

    Returns:
        Body of the answer, and the number of pieces that ran.
    """
    entries = json.loads(body).get("entries", ())
    results = [
        {"handle": new_handle(e["id"], e["phase"], e["segment"])}
        for e in entries
    ]
    return json.dumps({"entries": results}).encode(), len(results)


def caller_headers(
    attempt_id: str, key: str, deadline_s: float, pieces: Iterable[int] = ()
) -> dict[str, str]:
    """Returns the header fields that a caller sends."""
    fields = {
        headers.ATTEMPT_ID: attempt_id,
        headers.KEY: key,
        headers.DEADLINE: str(int(deadline_s * 1000)),
    }
    counts = ",".join(str(count) for count in pieces)
    if counts:
        fields |= {headers.PIECES: counts, headers.PIECE_KEY: attempt_id}
    return fields
