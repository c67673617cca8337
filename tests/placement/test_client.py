"""Tests of the engine client against malformed states."""

import json

import testtools

from savoryspar import backends
from savoryspar.placement import client, exceptions
from tests.gateway import odd_store
from tests.platform import test_store

STATE = {
    "models": [{"name": "m", "state": "ready", "age_s": 1.5, "demand": 2}],
    "slots": 4,
    "load_ages_s": [1.0],
    "fencing_number": 3,
}


class OddStatesTest(testtools.TestCase):
    def read(self, body):
        address = test_store.ThreadedServer(
            [test_store.raw_answer(body)]
        ).address
        server = backends.Server("e", address, "r", "z", "p")
        return client.new_engine_client().read(server, 1.0)

    def test_malformed_states_are_errors_of_the_engine(self):
        """Guards against one engine that stops the placement of all models.

        The round failed as a whole, and so did the next ones.
        """
        text = json.dumps(STATE)
        self.assertEqual(3, self.read(text.encode()).fencing_number)
        for before, after in (
            ("[1.0]", "[" * 1500 + "]" * 1500),
            ("[1.0]", "[1e999]"),
            ("[1.0]", "7"),
            ('"slots": 4', '"slots": 1e999'),
            ('"slots": 4', '"slots": -1'),
            ('"fencing_number": 3', '"fencing_number": ' + "9" * 300),
            ('"fencing_number": 3', '"fencing_number": NaN'),
            ('"ready"', '"odd"'),
            ('"m"', "[]"),
            ('"age_s": 1.5', '"age_s": -Infinity'),
        ):
            self.assertRaises(
                exceptions.EngineRequestError,
                self.read,
                text.replace(before, after).encode(),
            )
        for body in (b"[]", b"7", b"\xff", odd_store.deep(100_000)):
            self.assertRaises(exceptions.EngineRequestError, self.read, body)
