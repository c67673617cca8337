"""Reports and requests for tests of blame."""

from savoryspar import blame


def work(*parts, fingerprint="w/1", workspace="w"):
    """Returns a request of pool p and model m."""
    return blame.new_work(fingerprint, workspace, "p", "m", parts)


def keys(*parts):
    return frozenset(f"p/m/{part}" for part in parts)


class Recorder:
    """Records crashes and sound runs in a table."""

    def __init__(self):
        self.table = blame.new_crash_table()
        self.count = 0

    def crash(self, server, at, *parts, is_trial=False, version="v1", **fields):
        """Records the crash of a server under a new request."""
        self.count += 1
        fields.setdefault("fingerprint", f"w/{self.count}")
        report = blame.CrashReport(
            f"r{self.count}",
            server,
            version,
            work(*parts, **fields),
            at,
            is_trial,
            "vm",
        )
        self.table.record_crash(report, at)
        return report

    def sound(self, at, *parts, version="v1", **fields):
        self.table.record_sound(work(*parts, **fields), version, at)

    def verdict(self, at, *parts, version="v1", **fields):
        fields.setdefault("fingerprint", "w/other")
        return self.table.assess(work(*parts, **fields), version, at).verdict
