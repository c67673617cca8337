"""Malformed values that another writer leaves in the store or the settings."""

import json

NESTING_DEPTH = 1500
"""Deeper than the recursion limit of Python's JSON decoder."""


def _entry(**fields: object) -> bytes:
    """Returns an entry of a server, in which the given fields are replaced."""
    entry = {
        "service": "lookups",
        "addr": "127.0.0.1:9",
        "zone": "z1",
        "slots": 8,
        "state": "ready",
        "born": 1,
        "version": 0,
    }
    return json.dumps(entry | fields).encode()


def _entry_with(name: str, text: str) -> bytes:
    """Returns an entry with a field whose JSON text is given."""
    return _entry(**{name: "@"}).replace(b'"@"', text.encode())


_NESTED = "[" * NESTING_DEPTH + "]" * NESTING_DEPTH

ENTRIES = {
    "nested": _NESTED.encode(),
    "nested in a field": _entry_with("models", _NESTED),
    "slots 1e999": _entry_with("slots", "1e999"),
    "born 1e999": _entry_with("born", "1e999"),
    "version 1e999": _entry_with("version", "1e999"),
    "version of 5,000 digits": _entry_with("version", "9" * 5000),
    "slots of 5,000 digits": _entry_with("slots", "9" * 5000),
    "port 70000": _entry(addr="127.0.0.1:70000"),
    "port 5,000 digits": _entry(addr="127.0.0.1:" + "9" * 5000),
    "not UTF-8": b'{"service": "\xff\xfe"}',
    "empty": b"",
    "list": b"[1, 2]",
    "service is a list": _entry(service=["lookups"]),
    "state is a list": _entry(state=["ready"]),
    # Draining, so that no VM sends requests to a server that does not exist.
    "surrogate in the zone": _entry(zone="\ud800", state="draining"),
    "surrogate in the version": _entry(version="\ud800", state="draining"),
    "surrogate in the address": _entry(addr="\ud800:9"),
    "surrogate in the service": _entry(service="\ud800"),
}
"""Values of entries under ``servers/``, by what is odd."""

SETTINGS = {
    "empty": b"",
    "not UTF-8": b"[gateway]\nname = \xff\xfe\n",
    "half a section": b"[gatew",
    "grace of 1e999 s": b"[gateway]\ngrace_s = 1e999\n",
    "unknown setting": b"[gateway]\nno_such_setting = 1\n",
}
"""Contents of the settings file, by what is odd."""
