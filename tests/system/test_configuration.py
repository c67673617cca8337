"""Tests of configuration changes with real entry processes."""

import testtools

from savoryspar.bench import deployments
from savoryspar.bench import fleet as fleet_lib

SHEET_TEXT = deployments.GESTO.sheet_text()


def sheet_text(floor):
    """Returns the sheet with a given floor percentage of the bulk rank."""
    changed = SHEET_TEXT.replace(
        "bulk,floor_percent,10", f"bulk,floor_percent,{floor}"
    )
    assert changed != SHEET_TEXT
    return changed


class ConfigurationTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.fleet = fleet_lib.Fleet()
        self.addCleanup(self.fleet.close)
        self.entries = deployments.start(
            deployments.GESTO, self.fleet, entries=3, backends_share=0.1
        )
        self.urls = [self.fleet.operator_url(e) for e in self.entries]

    def sheet_statuses(self):
        """Returns the sheet status that each process reports."""
        return [
            self.fleet.http.request("GET", f"{url}/status").json()["sheet"]
            for url in self.urls
        ]

    def wait_revision(self, revision):
        self.fleet.wait_until(
            lambda: all(
                s["revision"] == revision for s in self.sheet_statuses()
            )
        )

    def test_stale_service_does_not_revert_a_revision(self):
        """Guards against a lagging service replica that undoes a change."""
        self.fleet.publish_sheet(sheet_text(11), 5, SHEET_TEXT)
        self.wait_revision(5)
        self.fleet.publish_sheet(SHEET_TEXT, revision=1)
        late_entry = self.fleet.start_entry(
            "late", "andina-bog", "andina-bog-a"
        )
        self.fleet.publish_vms()
        self.fleet.wait_ready("late")
        self.urls.append(self.fleet.operator_url(late_entry))
        self.assertEqual(
            [5] * 4, [s["revision"] for s in self.sheet_statuses()]
        )

    def test_two_contents_under_one_revision_do_not_split_the_fleet(self):
        """Guards against processes that differ in the sheet of one revision.

        A second content is published under a revision that is in force, before
        another process starts.
        """
        self.fleet.publish_sheet(sheet_text(11), 2)
        self.wait_revision(2)
        digests = {s["digest"] for s in self.sheet_statuses()}
        self.fleet.publish_sheet(sheet_text(12), 2)
        late_entry = self.fleet.start_entry(
            "late", "andina-bog", "andina-bog-a"
        )
        self.fleet.publish_vms()
        self.fleet.wait_ready("late")
        self.urls.append(self.fleet.operator_url(late_entry))
        self.assertEqual(digests, {s["digest"] for s in self.sheet_statuses()})

    def test_invalid_sheet_is_refused_everywhere_alike(self):
        """Guards against a process that accepts a sheet that others refuse."""
        self.fleet.publish_sheet(sheet_text(95), 2, SHEET_TEXT)
        self.fleet.wait_until(
            lambda: any(
                s["refused_revision"] == 2 for s in self.sheet_statuses()
            )
        )
        self.fleet.publish_sheet(sheet_text(12), 3, sheet_text(95))
        self.wait_revision(3)
        refusals = [s["refused"] for s in self.sheet_statuses() if s["refused"]]
        self.assertEqual(1, len({tuple(faults) for faults in refusals}))
        self.assertIn("floors of all ranks", refusals[0][0])

    def test_service_outage_keeps_the_configuration(self):
        """Guards against a configuration that is lost in a long outage."""
        self.fleet.control(self.fleet.platform, {"is_down": True})
        resp = self.fleet.http.request(
            "POST",
            f"{self.entries[0].url}/v1/pipelines/status-check",
            body=b"{}",
            headers={"Authorization": "Bearer key-calle-libre"},
        )
        self.assertEqual(200, resp.status)
        seeds = self.entries[0].peer_address
        late_entry = self.fleet.start_entry(
            "late",
            "andina-bog",
            "andina-bog-a",
            {"membership": {"seeds": seeds}},
        )
        self.fleet.wait_until(lambda: self.has_first_sheet(late_entry))
        self.fleet.control(self.fleet.platform, {"is_down": False})
        self.fleet.publish_sheet(sheet_text(13), 2, SHEET_TEXT)
        self.wait_revision(2)

    def has_first_sheet(self, entry):
        url = self.fleet.operator_url(entry)
        status = self.fleet.http.request("GET", f"{url}/status").json()
        return status["sheet"]["revision"] == 1
