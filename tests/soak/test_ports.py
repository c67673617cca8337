"""Tests of the ports that VMs get."""

import testtools

from savoryspar.soak import ports


class SliceTest(testtools.TestCase):
    def test_processes_do_not_share_ports(self):
        """Guards against requests that reach the VM of another test.

        VMs share ports, so both processes could listen. Processes whose IDs
        differ by a multiple of the number of slices had the same ports.
        """
        slices = len(ports.PORTS) // ports.SLICE
        pids = [slices * number for number in range(1, 4)]
        reserved = [ports._reserve_slice(pid) for pid in pids]
        for _, sock in reserved:
            self.addCleanup(sock.close)
        self.addCleanup(ports._reserve_slice.cache_clear)
        chosen = [{*found} for found, _ in reserved]
        self.assertEqual(
            sum(map(len, chosen)), len(set.union(*chosen)), chosen[0]
        )
