"""Tests of the memory of an entry VM beside servers that send without end."""

import resource

import eventlet

from tests.gateway import test_endless_peers

MEMORY_BYTES = 160 << 20
"""Memory of the smallest VM."""
STREAMS = 500
CALLERS = 40
"""Callers of each other target."""
OTHER_TARGETS = (
    *("/f/chunks", "/f/large", "/f/body", "/f/unframed", "/f/lines"),
    *("/f/line", "/f/interim", "/n/unframed", "/n/chunks", "/n/stages"),
)


class EndlessMemoryTest(test_endless_peers.FloodedCase):
    def setUp(self):
        super().setUp()
        resource.prlimit(
            self.process.pid,
            resource.RLIMIT_DATA,
            (MEMORY_BYTES, MEMORY_BYTES),
        )

    def assert_fits(self, *floods):
        """Asserts that each of the callers is answered, and the VM runs on."""
        while any(flood.is_running for flood in floods):
            eventlet.sleep(0.1)
        results = [result for flood in floods for result in flood.results()]
        peak_mb = self.peak_mb()
        slowest_s = max(took_s for _, took_s in results)
        print(
            f"{len(results)} answers, slowest {slowest_s:.2f} s,"
            f" peak {peak_mb:.1f} MB"
        )
        self.assertIs(None, self.process.poll())
        self.assertNotIn("", {status for status, _ in results})
        self.assertEqual(0, self.log_path(0).read_text().count("MemoryError"))
        self.assertLess(peak_mb, MEMORY_BYTES / 2**20)
        is_served, _ = self.order("after")
        self.assertTrue(is_served)

    def test_events_without_end_fit_into_the_smallest_vm(self):
        """Guards against incomplete events that fill a VM's memory together.

        They were limited to 256 KB each, but not in sum, and a failed stream
        kept its own until the next garbage collection.
        """
        self.assert_fits(self.start_callers(STREAMS, "/n/one-event"))

    def test_other_bytes_without_end_fit_into_the_smallest_vm(self):
        """Guards against other endless answers that fill a VM's memory."""
        self.assert_fits(
            *(self.start_callers(CALLERS, target) for target in OTHER_TARGETS)
        )
