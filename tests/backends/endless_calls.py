"""Calls of the clients of ``savoryspar entry`` to a server without end.

Run as a program with the address of the server. All clients call at the same
time, with the memory of the smallest VM; it prints the calls that failed as
they should, and the largest memory of the process in MB.
"""

import pathlib
import re
import resource
import sys

import eventlet

from savoryspar import backends, discovery, eventloop, placement

MEMORY_BYTES = 160 << 20
"""Memory of the smallest VM."""
CALLS = 10
"""Calls of each client at the same time."""


def peak_mb():
    status = pathlib.Path("/proc/self/status").read_text()
    return int(re.search(r"VmHWM:\s+(\d+)", status)[1]) / 1024


def calls(address):
    """Returns functions that call a server, by name."""
    server = backends.Server("s", address, "r", "z", "p")
    client = backends.new_client()
    engines = placement.new_engine_client()
    cfg_client = discovery.new_config_client(f"http://{address}", 100.0, 100.0)
    vms = discovery.new_vm_list_client(f"http://{address}")
    stage_call = backends.StageCall("a", "r", "/v1/run", {}, 2.0, 0)
    return {
        "run": lambda: client.call(server, stage_call),
        "load": lambda: client.read_load(server),
        "cache": lambda: client.read_cache_events(server, 0),
        "models": lambda: engines.read(server, 0.0),
        "key": lambda: cfg_client.get("manifest"),
        "vms": vms.read,
    }


def fails(call):
    try:
        call()
    except Exception as exc:
        return not isinstance(exc, MemoryError)
    return False


def main(address):
    resource.setrlimit(resource.RLIMIT_DATA, (MEMORY_BYTES, MEMORY_BYTES))
    threads = [
        (name, eventlet.spawn(fails, call))
        for name, call in calls(address).items()
        for _ in range(CALLS)
    ]
    failed = {name for name, thread in threads if thread.wait()}
    print(" ".join(sorted(failed)), round(peak_mb()))


if __name__ == "__main__":
    eventloop.install()
    eventlet.monkey_patch()
    main(*sys.argv[1:])
