"""Tests of the configuration over real entry processes."""

import testtools

from savoryspar.bench import deployments
from savoryspar.bench import fleet as fleet_lib

TEXT = deployments.GESTO.sheet_text()


def sheet_text(floor):
    """Returns the sheet with another floor of the bulk rank."""
    changed = TEXT.replace(
        "bulk,floor_percent,10", f"bulk,floor_percent,{floor}"
    )
    assert changed != TEXT
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

    def sheets(self):
        """Returns what each process says of its sheet."""
        return [
            self.fleet.http.request("GET", f"{url}/status").json()["sheet"]
            for url in self.urls
        ]

    def wait_revision(self, revision):
        self.fleet.wait_until(
            lambda: all(s["revision"] == revision for s in self.sheets())
        )

    def test_stale_service_does_not_take_a_revision_back(self):
        """A replica of the service that lags must not undo a change."""
        self.fleet.publish_sheet(sheet_text(11), 5, TEXT)
        self.wait_revision(5)
        self.fleet.publish_sheet(TEXT, revision=1)
        late = self.fleet.start_entry("late", "andina-bog", "andina-bog-a")
        self.fleet.publish_vms()
        self.fleet.wait_ready("late")
        self.urls.append(self.fleet.operator_url(late))
        self.assertEqual([5] * 4, [s["revision"] for s in self.sheets()])

    def test_two_contents_under_one_revision_raise_an_alarm(self):
        """A double publication must not split the fleet unnoticed."""
        self.fleet.publish_sheet(sheet_text(11), 2)
        self.wait_revision(2)
        digests = {s["digest"] for s in self.sheets()}
        self.fleet.publish_sheet(sheet_text(12), 2)
        late = self.fleet.start_entry("late", "andina-bog", "andina-bog-a")
        self.fleet.publish_vms()
        self.fleet.wait_ready("late")
        self.urls.append(self.fleet.operator_url(late))
        self.assertEqual(digests, {s["digest"] for s in self.sheets()})

    def test_invalid_sheet_is_refused_everywhere_alike(self):
        """One process that accepts it would decide unlike the others."""
        self.fleet.publish_sheet(sheet_text(95), 2, TEXT)
        self.fleet.wait_until(
            lambda: any(s["refused_revision"] == 2 for s in self.sheets())
        )
        self.fleet.publish_sheet(sheet_text(12), 3, sheet_text(95))
        self.wait_revision(3)
        refusals = [s["refused"] for s in self.sheets() if s["refused"]]
        self.assertEqual(1, len({tuple(faults) for faults in refusals}))
        self.assertIn("floors of all ranks", refusals[0][0])

    def test_outage_of_the_service_changes_nothing(self):
        """A long outage must not take the last configuration away."""
        self.fleet.control(self.fleet.platform, {"is_down": True})
        resp = self.fleet.http.request(
            "POST",
            f"{self.entries[0].url}/v1/pipelines/status-check",
            body=b"{}",
            headers={"Authorization": "Bearer key-calle-libre"},
        )
        self.assertEqual(200, resp.status)
        seeds = self.entries[0].peer_address
        late = self.fleet.start_entry(
            "late",
            "andina-bog",
            "andina-bog-a",
            {"membership": {"seeds": seeds}},
        )
        self.fleet.wait_until(lambda: self.knows_sheet(late))
        self.fleet.control(self.fleet.platform, {"is_down": False})
        self.fleet.publish_sheet(sheet_text(13), 2, TEXT)
        self.wait_revision(2)

    def knows_sheet(self, entry):
        url = self.fleet.operator_url(entry)
        status = self.fleet.http.request("GET", f"{url}/status").json()
        return status["sheet"]["revision"] == 1
