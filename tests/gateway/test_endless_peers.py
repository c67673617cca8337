"""Tests of an entry VM process whose peers send bytes without end at once."""

import copy
import pathlib
import re
import time

import eventlet

from savoryspar.soak import ports as soak_ports
from tests.gateway import endless_peers, node_case

CALLERS = 30
LINKS = 20
ORDER_INTERVAL_S = 0.1
FINAL_S = 0.5
"""Time after the timeout of a route in which the final answer is due."""
MAX_GROWTH_MB = 40.0
TARGETS = (
    *(
        f"/n/{shape}"
        for shape in (
            *("chunks", "extensions", "comments", "many-comments"),
            *("numbered", "one-event", "unframed"),
        )
    ),
    *(
        f"/f/{shape}"
        for shape in (
            *("chunks", "extensions", "unframed", "trailers", "interim"),
            "lines",
        )
    ),
    "/n/stages",
    "/o/upload",
)


def plain_route(name, prefix, service):
    return {
        **node_case.CONFIGURATION["routes"][0],
        "name": name,
        "prefix": prefix,
        "service": service,
    }


class FloodedPlatform(node_case.Platform):
    """All servers but the desk answer without end."""

    servers = ("desk", "lm", "prep", "flood")

    def __init__(self):
        (port,) = soak_ports.free_ports(1)
        self.process = endless_peers.PeerProcess("serve", str(port))
        self.process.await_listening(port)
        self.flood_address = f"127.0.0.1:{port}"
        self.configuration = copy.deepcopy(node_case.CONFIGURATION)
        self.configuration["routes"].append(plain_route("f", "/f/", "flood"))
        self.configuration["services"].append(
            {"name": "flood", "max-conns": 50}
        )
        super().__init__()
        for name in ("lm", "prep", "flood"):
            self.addresses[name] = self.flood_address

    def server_app(self, name):
        return self.desk


class FloodedCase(node_case.NodeCase):
    platform_class = FloodedPlatform

    def setUp(self):
        super().setUp()
        self.addCleanup(self.platform.process.end)

    def order(self, number):
        """Returns whether a sound order was served, and its latency."""
        started_at = time.monotonic()
        answer = self.request(
            "callers",
            "POST",
            f"/o/{number}",
            [
                ("Savoryspar-Key", "key-1"),
                ("Savoryspar-Attempt-Id", f"order-{number}"),
                ("Savoryspar-Deadline-Ms", "2000"),
            ],
            b"x",
        )
        return answer.endswith(b"booked:x"), time.monotonic() - started_at

    def peak_mb(self):
        status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        return int(re.search(r"VmHWM:\s+(\d+)", status)[1]) / 1024

    def start_callers(self, count, target):
        """Starts a process whose callers send equal requests at once."""
        callers = endless_peers.PeerProcess(
            "call", str(self.ports["callers"]), str(count), target
        )
        self.addCleanup(callers.end)
        return callers


class EndlessPeersTest(FloodedCase):
    def longest_round_s(self):
        text = self.request("metrics", "GET", "/metrics").decode()
        pattern = r"^savoryspar_gateway_longest_round_seconds\S* (\S+)$"
        return float(re.search(pattern, text, re.MULTILINE)[1])

    def flood(self, target):
        """Returns what the callers and the sound orders beside them saw."""
        callers = self.start_callers(CALLERS, target)
        orders = self.send_orders(callers, target.replace("/", "-"))
        return callers.results(), orders

    def send_orders(self, process, name):
        """Returns what sound orders saw until a process had ended."""
        orders = []
        while process.is_running:
            order = f"{name}-{len(orders) + 1}"
            orders.append(eventlet.spawn(self.order, order))
            eventlet.sleep(ORDER_INTERVAL_S)
        return [order.wait() for order in orders]

    def test_endless_links_do_not_delay_requests(self):
        """Guards against a VM that is busy with the frames of one peer."""
        start_s = self.longest_round_s()
        for shape in endless_peers.LINK_SHAPES:
            links = endless_peers.PeerProcess(
                "link", str(self.ports["peers"]), str(LINKS), shape
            )
            self.addCleanup(links.end)
            orders = self.send_orders(links, f"link-{shape}")
            slowest_s = max(took_s for _, took_s in orders)
            print(f"{shape}: {len(orders)} orders, slowest {slowest_s:.3f} s")
            self.assertTrue(all(is_served for is_served, _ in orders), shape)
            self.assertLess(slowest_s, FINAL_S, shape)
        # The metric covers the last minutes, and so the start of the VM.
        self.assertLessEqual(self.longest_round_s(), max(start_s, FINAL_S))

    def test_endless_bytes_do_not_delay_other_requests(self):
        """Guards against a VM that is busy with the bytes of one peer.

        With 60 callers at servers that sent chunks of one byte without end,
        orders at another service took 3 s.
        """
        before_mb = self.peak_mb()
        for target in TARGETS:
            floods, orders = self.flood(target)
            growth_mb = self.peak_mb() - before_mb
            slowest_s = max(took_s for _, took_s in orders)
            slowest_flood_s = max(took_s for _, took_s in floods)
            statuses = sorted({status for status, _ in floods})
            print(
                f"{target}: {len(orders)} orders, slowest {slowest_s:.3f} s;"
                f" endless calls {slowest_flood_s:.3f} s, status {statuses};"
                f" peak +{growth_mb:.1f} MB"
            )
            self.assertEqual(CALLERS, len(floods))
            self.assertTrue(all(is_served for is_served, _ in orders), target)
            self.assertNotIn("", statuses, target)
            self.assertLess(slowest_s, FINAL_S, target)
            self.assertLess(
                slowest_flood_s, endless_peers.DEADLINE_S + FINAL_S, target
            )
            self.assertLess(growth_mb, MAX_GROWTH_MB, target)
        longest_s = self.longest_round_s()
        print(f"longest round {longest_s:.3f} s")
        self.assertLess(longest_s, FINAL_S)
