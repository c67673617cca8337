"""Tests of placement with processes of an entry VM and stand-in engines."""

import testtools

from savoryspar.bench import deployments
from savoryspar.bench import fleet as fleet_lib

MODEL = "jurado-7b"


class EnginesTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.fleet = fleet_lib.Fleet()
        self.addCleanup(self.fleet.close)
        self.store = self.fleet.start(
            "weights", ["standin", "weights", "--rate", "60"]
        )
        self.settings = {"placement": {"interval_s": 0.2, "dwell_s": 0}}
        self.entry = deployments.start(
            deployments.GESTO, self.fleet, entries=1, backends_share=0.34,
            settings=self.settings,
        )[0]  # fmt: skip
        self.engine = self.fleet.processes["jurado-lm-0"]
        self.control(weights_url=self.store.url)

    def control(self, **values):
        return self.fleet.post_json(self.engine, "/orders/control", values)

    def model_states(self):
        models = self.fleet.get_json(self.engine, "/models")["models"]
        return {model["name"]: model["state"] for model in models}

    def test_missing_model_is_loaded_and_unlisted_one_unloaded(self):
        """An engine must converge to exactly the models in the sheet."""
        self.fleet.wait_until(lambda: self.model_states().get(MODEL) == "ready")
        self.control(models=["old-model"])
        self.fleet.wait_until(lambda: self.model_states() == {MODEL: "ready"})
        loads = self.fleet.get_json(self.store, "/book")["loads"]
        self.assertGreaterEqual(loads, 1)
        text = self.fleet.log_text(self.entry.name)
        self.assertIn("[placement]", text)
        self.assertIn(f"stage=load:{MODEL} rank=standard", text)

    def test_numbers_increase_over_a_restart_and_a_pause(self):
        """A paused sender must not overrule the process that replaced it."""
        self.fleet.wait_until(lambda: self.model_states().get(MODEL) == "ready")
        self.entry.pause()
        name = "andina-new"
        zone = deployments.GESTO.regions[0]
        self.fleet.start_entry(name, zone, f"{zone}-a", self.settings)
        self.fleet.publish_vms()
        self.fleet.wait_ready(name)
        self.control(models=[])
        self.fleet.wait_until(lambda: self.model_states().get(MODEL) == "ready")
        self.entry.resume()
        self.control(models=[])
        self.fleet.wait_until(lambda: self.model_states().get(MODEL) == "ready")
        book = self.control()["book"]
        numbers = [o["fencing_number"] for o in book if o["is_accepted"]]
        self.assertEqual(sorted(set(numbers)), numbers)
        self.assertGreaterEqual(len(numbers), 3)
