"""Starts the engine pool of a deployment with one entry process."""

import json
import socket
import time

import urllib3

from savoryspar.bench import deployments
from savoryspar.bench import fleet as fleet_lib

HEADERS = {"Authorization": "Bearer key-calle-libre"}
REGION = "andina-bog"
CRASH_MARK = "PLIEGO-ROTO"
SHEET = deployments.GESTO.sheet_text() + (
    "pipeline,draft,work,archive\n"
    "pipeline,draft,stages,generate=jurado-lm/jurado-7b\n"
)
"""Adds the pipeline ``draft``, whose only stage is a generation."""


class EngineFleet(fleet_lib.Fleet):
    """One entry process, engines, a retriever and a plain service."""

    def start_all(self, engines=3, step_ms=5, **routing):
        self.start_platform()
        self.publish_sheet(SHEET, revision=1)
        for pool, kind, count in (
            ("jurado-lm", "engine", engines),
            ("inscripciones", "service", 1),
            ("programacion", "pool", 1),
        ):
            for number in range(count):
                options = (
                    ["--step-ms", str(step_ms)] if kind == "engine" else []
                )
                self.start_backend(
                    kind,
                    f"{pool}-{number}",
                    pool,
                    REGION,
                    f"{REGION}-a",
                    *options,
                )
        self.entry = self.start_entry(
            "e1", REGION, f"{REGION}-a", {"routing": routing}
        )
        self.publish_vms()
        self.wait_ready("e1")
        self.wait_for_backends()

    def wait_for_backends(self):
        # The entry process becomes ready before it has the first VM list.
        for _ in range(100):
            if self.post("status-check", {}).status == 200:
                return
        raise TimeoutError("the entry process has no backend servers")

    @property
    def engines(self):
        return [
            process
            for name, process in self.processes.items()
            if name.startswith("jurado-lm") and process.popen.poll() is None
        ]

    def post(self, pipeline, body):
        return self.http.request(
            "POST",
            f"{self.entry.url}/v1/pipelines/{pipeline}",
            body=json.dumps(body).encode(),
            headers=HEADERS,
        )

    def post_and_disconnect(self, prompt):
        raw = json.dumps(chat_body(prompt, 20)).encode()
        with socket.create_connection(("127.0.0.1", self.entry.port)) as sock:
            sock.sendall(
                b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
                b"Authorization: %s\r\nContent-Length: %d\r\n\r\n%s"
                % (HEADERS["Authorization"].encode(), len(raw), raw)
            )
            time.sleep(0.02)

    def stream(self, prompt, max_tokens):
        body = chat_body(prompt, max_tokens)
        return urllib3.PoolManager().request(
            "POST",
            f"{self.entry.url}/v1/chat/completions",
            body=json.dumps(body).encode(),
            headers=HEADERS,
            preload_content=False,
        )

    def runs(self):
        return {
            engine.name: self.get_json(engine, "/book")["runs"]
            for engine in self.engines
        }

    def control_engines(self, **body):
        for engine in self.engines:
            self.control(engine, body)


def chat_body(prompt, max_tokens):
    return {
        "model": "draft",
        "stream": True,
        "max_tokens": max_tokens,
        "messages": [{"role": "user", "content": prompt}],
    }


def parse_stream(raw):
    """Returns the tokens of a complete stream, and its other events."""
    payloads = [
        line.removeprefix(b"data: ")
        for line in raw.split(b"\n")
        if line.startswith(b"data: ")
    ]
    tokens, other_events = [], []
    for payload in payloads:
        if payload == b"[DONE]":
            other_events.append("[DONE]")
            continue
        document = json.loads(payload)
        choices = document.get("choices")
        if not choices:
            other_events.append(document["type"].rpartition(":")[2])
        elif choices[0]["delta"].get("content"):
            tokens.append(choices[0]["delta"]["content"].strip())
        else:
            other_events.append(choices[0]["finish_reason"])
    return tokens, other_events
