"""Prints the peak memory of a VM beside crowds of uploads of up to 4 MB.

Run as ``python -m tools.upload_peaks COUNT...``; for each number of callers and
each shape it starts a VM, and prints a line of a table.
"""

import collections
import sys
import unittest

from eventlet import tpool

from tests.gateway import test_upload_limits, upload_crowd

MAX_BODY_BYTES = 4 << 20
TARGETS = {"complete": ("/f/upload", "/s/upload", "/n/upload")}
"""Targets of a shape, where it is not only sent to a fast server."""


class _Platform(test_upload_limits.SlowPlatform):
    def __init__(self):
        super().__init__()
        self.configuration["limits"] = {"max-body-bytes": MAX_BODY_BYTES}


class _Peak(test_upload_limits.UploadLimitsTest):
    """Measures the crowd that the class attributes describe."""

    platform_class = _Platform
    count, shape, target = 0, "", ""

    def measure(self) -> None:
        """Prints the peak beside one crowd."""
        crowd = upload_crowd.CrowdProcess(
            str(self.ports["callers"]),
            str(self.count),
            self.shape,
            self.target,
            str(MAX_BODY_BYTES),
        )
        self.addCleanup(crowd.end)
        statuses = collections.Counter(tpool.execute(crowd.statuses))
        growth_mb = self.memory_mb("VmHWM") - self.start_mb
        is_alive = self.process.poll() is None
        self.assert_ordinary_served("beside")
        print(
            f"| {self.shape} {self.target} | {self.count} | {growth_mb:.0f} MB"
            f" | {'yes' if is_alive else 'no'} | {dict(statuses)} |",
            flush=True,
        )


def main(counts: list[str]) -> None:
    """Measures all shapes for each number of callers."""
    for count in counts:
        for shape in upload_crowd.SHAPES:
            for target in TARGETS.get(shape, ("/f/upload",)):
                _Peak.count, _Peak.shape = int(count), shape
                _Peak.target = target
                result = unittest.TestResult()
                _Peak("measure").run(result)
                for _, text in (*result.errors, *result.failures):
                    print(f"| {shape} {target} | {count} | failed: {text}")


if __name__ == "__main__":
    main(sys.argv[1:])
