"""Calls backend servers over HTTP with reused connections."""

import json
import re

import urllib3

from savoryspar import decoding
from savoryspar.backends import (
    exceptions,
    guarded,
    model,
    pooled,
    relay,
    reports,
)

CONNECT_TIMEOUT_S = 0.5
CONNECTIONS_PER_SERVER = 64
REPORT_TIMEOUT_S = 1.0
LOAD = re.compile(r"[0-9]{1,9}")
MAX_OUTPUT_BYTES = pooled.MAX_ANSWER_BYTES
"""Limit for the output of a stage."""
NOT_RUN_STATUSES = frozenset({409, 429, 503})


class Client:
    """Calls backend servers, with one connection pool per server address.

    Attributes:
        dropped_answers: Answers that belonged to another attempt, or whose
            call timed out. They are lost as the connection is closed.
    """

    __slots__ = ("_pool", "dropped_answers")

    def __init__(self, pool: urllib3.PoolManager):
        self._pool = pool
        self.dropped_answers = 0

    def call(
        self, server: model.Server, call: model.StageCall
    ) -> model.StageResult:
        """Runs a stage and returns its complete answer.

        Raises:
            CallRefusedError: The call did not run.
            CallOutcomeUnknownError: The call may have run.
        """
        resp = self._send(server, call, preload_content=True)
        _check_status(server, resp)
        self._check_attempt(server, call, resp)
        try:
            output = decoding.decode_envelope(resp.data, MAX_OUTPUT_BYTES)
        except decoding.DecodingError as exc:
            raise exceptions.CallOutcomeUnknownError(
                server.name,
                f"the answer is not JSON: {exc}",
                "check the backend server",
                has_sent=True,
            ) from exc
        return model.StageResult(
            output, _reported_load(resp), _is_leaving(resp)
        )

    def open_stream(
        self, server: model.Server, call: model.StageCall
    ) -> relay.EngineStream:
        """Starts a streamed generation and returns it once headers arrive.

        Raises:
            CallRefusedError: The call did not run.
            CallOutcomeUnknownError: The call may have run.
        """
        resp = self._send(server, call, preload_content=False)
        try:
            _check_status(server, resp)
            self._check_attempt(server, call, resp)
        except exceptions.BackendError:
            resp.close()
            raise
        return relay.new_engine_stream(
            server.name, resp, _reported_load(resp), _is_leaving(resp)
        )

    def _send(
        self,
        server: model.Server,
        call: model.StageCall,
        preload_content: bool,
    ) -> urllib3.BaseHTTPResponse:
        headers = {
            "Content-Type": "application/json",
            "X-Attempt-Id": call.attempt_id,
            "X-Request-Id": call.request_id,
            "X-Deadline-Ms": str(int(call.timeout_s * 1000)),
        }
        if call.idempotency_key:
            headers["Idempotency-Key"] = call.idempotency_key
        timeout = urllib3.Timeout(
            connect=min(CONNECT_TIMEOUT_S, call.timeout_s), read=call.timeout_s
        )
        try:
            with guarded.before_first_byte(call.before_send):
                return self._pool.request(
                    "POST",
                    f"http://{server.address}{call.path}",
                    body=json.dumps(call.body).encode(),
                    headers=headers,
                    timeout=timeout,
                    retries=False,
                    preload_content=preload_content,
                )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as exc:
            raise exceptions.CallRefusedError(
                server.name,
                f"no connection: {exc}",
                "check that the server runs",
                has_sent=False,
            ) from exc
        except urllib3.exceptions.ReadTimeoutError as exc:
            self.dropped_answers += 1
            raise exceptions.CallOutcomeUnknownError(
                server.name,
                "no answer before the deadline",
                "send the request again with the same ticket",
                has_sent=True,
            ) from exc
        except urllib3.exceptions.HTTPError as exc:
            raise exceptions.CallOutcomeUnknownError(
                server.name,
                f"the connection failed: {exc}",
                "send the request again with the same ticket",
                has_sent=True,
                is_crash=True,
            ) from exc

    def _check_attempt(
        self,
        server: model.Server,
        call: model.StageCall,
        resp: urllib3.BaseHTTPResponse,
    ) -> None:
        answered = resp.headers.get("X-Attempt-Id", "")
        if answered != call.attempt_id:
            self.dropped_answers += 1
            raise exceptions.CallOutcomeUnknownError(
                server.name,
                f"answered attempt {answered!r} instead of {call.attempt_id!r}",
                "check the backend server; the answer was dropped",
                has_sent=True,
            )

    def read_load(self, server: model.Server) -> reports.LoadReport:
        """Reads the load report of a server.

        Raises:
            BackendError: The server did not answer with a valid report.
        """
        data = self._read(server, "/load")
        try:
            return reports.decode_load(data.decode())
        except ValueError as exc:
            raise _bad_report(server, exc) from exc

    def read_cache_events(
        self, server: model.Server, after: int
    ) -> reports.CacheReport:
        """Reads the cache events of a server after a sequence number.

        Raises:
            BackendError: The server did not answer with a valid report.
        """
        data = self._read(server, f"/cache-events?after={after}")
        try:
            return reports.decode_cache_events(data, after)
        except ValueError as exc:
            raise _bad_report(server, exc) from exc

    def _read(self, server: model.Server, path: str) -> bytes:
        try:
            resp = self._pool.request(
                "GET",
                f"http://{server.address}{path}",
                timeout=REPORT_TIMEOUT_S,
                retries=False,
            )
        except urllib3.exceptions.HTTPError as exc:
            raise _bad_report(server, exc) from exc
        if resp.status != 200:
            raise _bad_report(server, f"status {resp.status}")
        return resp.data


def _bad_report(
    server: model.Server, reason: object
) -> exceptions.BackendError:
    return exceptions.BackendError(
        server.name,
        f"the report cannot be read: {reason}",
        "check the server",
        has_sent=True,
    )


def _check_status(server: model.Server, resp: urllib3.BaseHTTPResponse) -> None:
    if resp.status == 200:
        return
    if resp.status in NOT_RUN_STATUSES:
        raise exceptions.CallRefusedError(
            server.name,
            f"answered {resp.status}, so the call did not run",
            "retry on another server",
            has_sent=True,
        )
    raise exceptions.CallOutcomeUnknownError(
        server.name,
        f"answered {resp.status}",
        "check the backend server",
        has_sent=True,
    )


def _reported_load(resp: urllib3.BaseHTTPResponse) -> int:
    text = resp.headers.get("X-Load", "")
    return int(text) if LOAD.fullmatch(text) else -1


def _is_leaving(resp: urllib3.BaseHTTPResponse) -> bool:
    return resp.headers.get("X-Leaving") == "1"


def new_client() -> Client:
    """Returns a client that shares no connections with other clients."""
    return Client(
        guarded.new_pool_manager(
            num_pools=1024, maxsize=CONNECTIONS_PER_SERVER, block=False
        )
    )
