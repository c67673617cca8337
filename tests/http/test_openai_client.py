"""Tests of the callers' API with the unmodified OpenAI client."""

import openai
import testtools

from savoryspar.bench import deployments
from savoryspar.bench import fleet as fleet_lib
from savoryspar.standins import engine

MESSAGES = [{"role": "user", "content": "Guion: la plaza vacia."}]


class OpenAiClientTest(testtools.TestCase):
    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        cls.fleet = fleet_lib.Fleet()
        cls.addClassCleanup(cls.fleet.close)
        cls.entry = deployments.start(
            deployments.GESTO, cls.fleet, entries=1, backends_share=0.1
        )[0]

    def new_client(self, key="key-calle-libre"):
        return openai.OpenAI(
            base_url=f"{self.entry.url}/v1", api_key=key, max_retries=0
        )

    def test_models_endpoint_lists_the_pipelines(self):
        """A client must be able to list the pipelines."""
        names = [model.id for model in self.new_client().models.list()]
        self.assertIn("jury-summary", names)

    def test_streamed_answer_is_complete(self):
        """Guards against lost or duplicate tokens in a stream."""
        stream = self.new_client().chat.completions.create(
            model="archive-digest", messages=MESSAGES, stream=True,
            max_tokens=12,
        )  # fmt: skip
        words = [
            event.choices[0].delta.content.strip()
            for event in stream
            if event.choices[0].delta.content
        ]
        self.assertEqual(12, len(words))
        self.assertLessEqual(set(words), set(engine.WORDS))

    def test_unstreamed_answer_is_complete(self):
        """An unstreamed answer must contain all tokens and their count."""
        answer = self.new_client().chat.completions.create(
            model="jury-summary", messages=MESSAGES, max_tokens=7
        )
        self.assertEqual(7, len(answer.choices[0].message.content.split()))
        self.assertEqual(7, answer.usage.completion_tokens)

    def test_unknown_key_is_refused(self):
        """An unauthenticated caller must not reach a pipeline."""
        self.assertRaises(
            openai.AuthenticationError, self.new_client("wrong").models.list
        )
