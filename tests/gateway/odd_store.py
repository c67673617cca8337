"""A stand-in store in which another writer leaves malformed entries."""

import base64
import json
from urllib import parse

import eventlet

from tests.gateway import node_case

POLL_S = 0.02


def deep(levels, body=b"1"):
    """Returns a JSON list nested to a depth."""
    return b"[" * levels + body + b"]" * levels


def entry(**changes):
    """Returns a valid entry of a backend server with some fields replaced."""
    fields = {
        "service": "desk",
        "addr": "127.0.0.1:9",
        "zone": "z1",
        "version": "v1",
        "slots": 4,
        "state": "ready",
        "cold-left-ms": 0,
        "seq": 3,
        "born": 1700000000000,
    }
    return json.dumps({**fields, **changes}).encode()


def entry_with(name, text):
    """Returns an entry in which the JSON of one field is replaced."""
    return entry(**{name: "@"}).replace(b'"@"', text)


ODD_ENTRIES = {
    "nested 1,500 deep": deep(1500),
    "nested 100,000 deep": deep(100_000),
    "object nested 1,500 deep": b'{"a":' * 1500 + b"1" + b"}" * 1500,
    "field nested 1,500 deep": entry_with("models", deep(1500)),
    "field nested 100 deep": entry_with("models", deep(100)),
    "born 1e999": entry_with("born", b"1e999"),
    "unused number 1e999": entry_with("seq", b"1e999"),
    "born of 5,000 digits": entry_with("born", b"9" * 5000),
    "unused number of 5,000 digits": entry_with("seq", b"9" * 5000),
    "slots of 4,000 digits": entry_with("slots", b"9" * 4000),
    "slots 2**70": entry(slots=2**70),
    "slots negative": entry(slots=-1),
    "slots 0": entry(slots=0),
    "slots true": entry(slots=True),
    "slots NaN": entry_with("slots", b"NaN"),
    "unused number NaN": entry_with("seq", b"NaN"),
    "unused number Infinity": entry_with("seq", b"-Infinity"),
    "born negative": entry(born=-5),
    "born 2**70": entry(born=2**70),
    "port 0": entry(addr="127.0.0.1:0"),
    "port 70000": entry(addr="127.0.0.1:70000"),
    "port with a blank": entry(addr="127.0.0.1:80 "),
    "port with a sign": entry(addr="127.0.0.1:+80"),
    "port with an underscore": entry(addr="127.0.0.1:8_0"),
    "port in other digits": entry(addr="127.0.0.1:\u0668\u0660"),
    "port missing": entry(addr="127.0.0.1"),
    "host name": entry(addr="server.example:80"),
    "host empty": entry(addr=":80"),
    "host of five numbers": entry(addr="127.0.0.0.1:80"),
    "host out of range": entry(addr="127.0.0.256:80"),
    "host in IPv6": entry(addr="[::1]:80"),
    "host in IPv6 without brackets": entry(addr="::1:80"),
    "host with a NUL": entry(addr="127.0.0.1\x00:80"),
    "address of 1 MB": entry(addr="1" * (1 << 20) + ":80"),
    "address an object": entry(addr={"host": "127.0.0.1"}),
    "service a lone surrogate": entry(service="\ud800"),
    "zone a lone surrogate": entry(zone="\udfff"),
    "version a lone surrogate": entry(version="\ud800"),
    "service with a line feed": entry(service="desk\nx"),
    "zone with a NUL": entry(zone="z\x00"),
    "service empty": entry(service=""),
    "service of 1 MB": entry(service="x" * (1 << 20)),
    "unused text of 1 MB": entry(extra="x" * (1 << 20)),
    "field name a lone surrogate": entry(**{"\ud800": 1}),
    "state unknown": entry(state="odd"),
    "state a list": entry(state=[]),
    "duplicate address": entry()[:-1] + b',"addr":"127.0.0.1:10"}',
    "list": b"[]",
    "number": b"7",
    "text": b'"x"',
    "null": b"null",
    "empty": b"",
    "truncated": entry()[:-9],
    "two documents": entry() + entry(),
    "not UTF-8": b"\xff\xfe" + entry(),
    "UTF-16": entry().decode().encode("utf-16"),
}
"""Malformed entries under a valid key, by what is malformed."""

ODD_KEYS = {
    "servers/": entry(),
    "servers/a b": entry(),
    "servers/a\nb": entry(),
    "servers/\u00e9\u20ac": entry(),
    "servers/\ud800": entry(),
    "servers/" + "x" * 5000: entry(),
}
"""Keys that have no valid ID of a server, with valid entries."""

ODD_ITEMS = {
    "no value": {"key": "servers/i-1", "revision": 5},
    "value null": {"key": "servers/i-2", "value": None, "revision": 5},
    "value a number": {"key": "servers/i-3", "value": 7, "revision": 5},
    "value no base64": {"key": "servers/i-4", "value": "@@@", "revision": 5},
    "value half base64": {"key": "servers/i-5", "value": "abc", "revision": 5},
    "value not ASCII": {"key": "servers/i-6", "value": "\u00e9", "revision": 5},
    "a number": 7,
    "null": None,
    "a list": [],
    "no key": {"value": "e30=", "revision": 5},
    "key a number": {"key": 7, "value": "e30=", "revision": 5},
    "no revision": {"key": "servers/i-7", "value": "e30="},
    "revision a text": {
        "key": "servers/i-8",
        "value": "e30=",
        "revision": "x",
    },
    "revision 2**64": {
        "key": "servers/i-9",
        "value": "e30=",
        "revision": 2**64,
    },
    "revision negative": {
        "key": "servers/i-10",
        "value": "e30=",
        "revision": -4,
    },
    "revision a fraction": {
        "key": "servers/i-11",
        "value": "e30=",
        "revision": 5.5,
    },
    "lease 1e999": {
        "key": "servers/i-12",
        "value": "@",
        "revision": 5,
        "lease": float("inf"),
    },
}
"""Malformed items of a page."""


class OddPlatform(node_case.Platform):
    """A store that other writers change, with two servers of one service.

    Attributes:
        revision: Revision of the store.
        items: Current values by key.
        raw_items: Items added to each list as they are.
        events: All changes so far, as the store reports them.
        is_down: Whether the store refuses all calls.
    """

    is_down = False

    servers = ("desk-a", "desk-b")

    def __init__(self):
        self.revision = 9
        self.events = []
        self.items = {}
        self.raw_items = []
        super().__init__()
        self.put_server("desk-a")
        self.put("op/config", json.dumps(node_case.CONFIGURATION).encode())

    def put(self, key, value):
        """Writes a value, None to remove the key."""
        self.revision += 1
        item = {"key": key, "revision": self.revision}
        if value is None:
            item["deleted"] = True
            self.items.pop(key, None)
        else:
            item["value"] = base64.b64encode(value).decode()
            self.items[key] = item
        self.events.append(item)

    def put_server(self, name):
        """Writes the entry of a server that runs."""
        self.put(f"servers/i-{name}", self._entry(name))

    def add_event(self, item):
        """Reports a change that is no valid item."""
        self.revision += 1
        self.events.append(item)

    def server_app(self, name):
        def answer(environ, start_response):
            environ["wsgi.input"].read()
            start_response("200 OK", [("Savoryspar-Seal", name)])
            return [name.encode()]

        return answer

    def store(self, environ, start_response):
        query = dict(parse.parse_qsl(environ["QUERY_STRING"]))
        path = environ["PATH_INFO"]
        if self.is_down:
            start_response("503 Service Unavailable", [])
            return [b"{}"]
        start_response("200 OK", [("Content-Type", "application/json")])
        if path == "/-/kv-key":
            body = dict(self.items[query["key"]])
        elif path == "/-/kv-range":
            found = [
                item
                for key, item in sorted(self.items.items())
                if key.startswith(query["prefix"])
                and key > query.get("after", "")
            ]
            body = {"entries": found + self.raw_items, "truncated": False}
        else:
            body = {"events": self._await_events(query)}
        return [json.dumps({**body, "as-of": self.revision}).encode()]

    def _await_events(self, query):
        after = int(query["after"])
        with eventlet.Timeout(int(query["wait-ms"]) / 1000.0, False):
            while True:
                found = [
                    event
                    for event in self.events
                    if self._is_requested(event, query["prefix"], after)
                ]
                if found:
                    return found
                eventlet.sleep(POLL_S)
        return []

    def _is_requested(self, event, prefix, after):
        if not isinstance(event, dict) or "key" not in event:
            return prefix == "servers/" and after < self.revision
        revision = event.get("revision")
        is_new = not isinstance(revision, int) or revision > after
        return str(event["key"]).startswith(prefix) and is_new
