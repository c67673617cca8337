"""Property of the readers of entry processes; see ``test_cut_answers``.

Run in a process of its own, as entry processes are monkey-patched.
"""

import json

from savoryspar import backends, discovery, placement
from savoryspar.backends import framing
from tests.backends import cut_answers

OK, FRAMED, ALL = cut_answers.OK, cut_answers.FRAMED, cut_answers.ALL
EVENTS = b"id: 0\ndata: x\n\nid: 1\ndata: y\n\n"


class EntryAnswersCase(cut_answers.CutCase):
    def entry_server(self):
        return backends.Server("s", self.server.address, "r", "z", "p")

    def test_calls_of_entry_processes(self):
        """Guards against a cut output of a stage used as whole."""
        call = backends.StageCall("a", "r", "/v1/run", {}, 2.0, 0)
        head = OK + b"X-Attempt-Id: a\r\n"

        def new_read():
            client = backends.new_client()
            return lambda: client.call(self.entry_server(), call).output

        self.check(
            new_read,
            [framed(head, b'{"text": "x"}') for framed in ALL],
            backends.BackendError,
            first=cut_answers.with_length(head, b"{}"),
        )
        self.check(
            new_read,
            [framed(head, b"123") for framed in FRAMED],
            backends.BackendError,
        )

    def test_streams_of_entry_processes(self):
        """Guards against a cut stream that ends as complete."""
        call = backends.StageCall("a", "r", "/v1/run", {}, 2.0, 0)
        text = cut_answers.chunked(
            OK + b"X-Attempt-Id: a\r\n", EVENTS + framing.DONE_EVENT
        )

        def new_read():
            client = backends.new_client()

            def read():
                stream = client.open_stream(self.entry_server(), call)
                return b"".join(iter(stream.read, b""))

            return read

        self.check(new_read, [text], backends.BackendError)

    def test_reports_of_engines(self):
        """Guards against the load and cache events of a part of a report."""
        load = b"engine_running 12\nengine_waiting 34\n"
        events = json.dumps(
            {
                "last": 12,
                "events": [{"sequence": 12, "kind": "stored", "blocks": ["a"]}],
            }
        ).encode()

        def new_load():
            client = backends.new_client()
            return lambda: client.read_load(self.entry_server()).waiting

        def new_events():
            client = backends.new_client()
            server = self.entry_server()
            return lambda: client.read_cache_events(server, 11).last

        for body, new_read in ((load, new_load), (events, new_events)):
            self.check(
                new_read,
                [framed(OK, body) for framed in ALL],
                backends.BackendError,
                first=cut_answers.with_length(OK, body),
            )

    def test_documents_of_the_platform(self):
        """Guards against a part of the configuration or of the VM list."""
        vm = dict.fromkeys(("address", "region", "zone"), "x")
        vms = {"vms": [{**vm, "name": "n", "role": "entry", "state": "up"}]}
        url = f"http://{self.server.address}"

        def new_config():
            return discovery.new_config_client(url, 1e6, 1e6)

        def new_get():
            client = new_config()
            return lambda: client.get("k")

        def new_watch():
            client = new_config()
            return lambda: client.watch(1, 0.1)

        def new_list():
            client = discovery.new_vm_list_client(url)
            return lambda: [vm.name for vm in client.read()]

        for body, framings, new_read in (
            (b"k=v", FRAMED, new_get),
            (b'{"revision": 12}', ALL, new_watch),
            (json.dumps(vms).encode(), ALL, new_list),
        ):
            self.check(
                new_read,
                [framed(OK, body) for framed in framings],
                discovery.PlatformError,
                first=cut_answers.with_length(OK, body),
            )

    def test_states_of_engines(self):
        """Guards against a part of the models that an engine has."""
        body = json.dumps(
            {
                "slots": 12,
                "models": [{"name": "m", "state": "ready", "age_s": 1.5}],
                "fencing_number": 12,
            }
        ).encode()

        def new_read():
            client = placement.new_engine_client()
            return lambda: client.read(self.entry_server(), 0.0).fencing_number

        self.check(
            new_read,
            [framed(OK, body) for framed in ALL],
            placement.EngineRequestError,
            first=cut_answers.with_length(OK, body),
        )
