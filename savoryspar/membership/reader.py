"""Reading of links and dispatch of their frames."""

from collections.abc import Callable
import time
from typing import Any

from savoryspar import decoding
from savoryspar.membership import (
    calls,
    connector,
    exceptions,
    frames,
    gossip,
    heartbeats,
    links,
    model,
    table,
    upkeep,
)


class Reader:
    """Reads frames from all links and dispatches them to their handlers.

    Attributes:
        on_sheet_delta: Called with the incarnation of the sender and the body
            of a sheet delta.
        is_stopped: Whether the process has announced that it left.
    """

    __slots__ = (
        "_calls",
        "_connector",
        "_dispatch",
        "_gossip",
        "_heartbeats",
        "_records",
        "_upkeep",
        "is_stopped",
        "on_sheet_delta",
    )

    def __init__(
        self,
        records: table.MemberTable,
        own_links: connector.Connector,
        own_heartbeats: heartbeats.Heartbeats,
        own_gossip: gossip.Gossip,
        own_calls: calls.Calls,
        own_upkeep: upkeep.Upkeep,
    ):
        self._records = records
        self._connector = own_links
        self._heartbeats = own_heartbeats
        self._gossip = own_gossip
        self._calls = own_calls
        self._upkeep = own_upkeep
        self.is_stopped = False
        self.on_sheet_delta: Callable[[str, Any], None] = (
            lambda incarnation, body: None
        )
        self._dispatch = {
            "heartbeat": self._handle_heartbeat,
            "members": self._handle_members,
            "request": self._handle_request,
            "reply": self._handle_reply,
            "broadcast": self._handle_broadcast,
            "sheet_delta": self._handle_sheet_delta,
            "leave": self._handle_leave,
        }

    def run_link(self, link: links.Link) -> None:
        """Reads a new link until it closes."""
        now = time.monotonic()
        self._gossip.merge([link.peer], None, now)
        self._records.record_received(link.peer.incarnation, now)
        link.start_writer(
            lambda: self._heartbeats.link_interval_s(link),
            lambda link: self._heartbeats.render(link, time.monotonic()),
        )
        self._gossip.send_digests(link)
        source = f"{link.peer.name} {link.peer.address}"
        try:
            while True:
                try:
                    self.handle_frame(link, link.receive())
                except exceptions.FrameError as exc:
                    self._connector.record_refusal(exc, source)
        except links.SOCKET_ERRORS as exc:
            if links.is_oversize(exc):
                self._connector.record_refusal(_oversize(), source)
        finally:
            self._calls.fail_requests(link)
            self._redial(link)

    def handle_frame(self, link: links.Link, frame: frames.Frame) -> None:
        """Handles one frame.

        Raises:
            FrameError: The body is invalid.
        """
        handler = self._dispatch.get(frame.kind)
        try:
            if handler is None:
                raise ValueError(
                    "this type is only valid at the start of a link"
                )
            handler(link, frame.body)
        except Exception as exc:
            raise exceptions.FrameError(
                "body",
                f"invalid body of a {frame.kind} frame:"
                f" {decoding.describe(exc)}",
                "check the peer's version",
            ) from exc
        link.echo = frame.sequence
        self._records.record_received(link.peer.incarnation, time.monotonic())
        if frame.kind != "heartbeat":
            link.used_at = time.monotonic()

    def _redial(self, link: links.Link) -> None:
        """Dials a neighbour again immediately, to detect whether it failed."""
        now = time.monotonic()
        if not self.is_stopped and (
            link.peer.incarnation in self._upkeep.link_targets(now)
        ):
            self._connector.dial(link.peer.address, now)

    def _handle_heartbeat(self, link: links.Link, body: Any) -> None:
        heartbeat = heartbeats.decode(body)
        if self._heartbeats.apply(link, heartbeat, time.monotonic()):
            self._gossip.send_digests(link)

    def _handle_members(self, link: links.Link, body: Any) -> None:
        step, content = body
        if step == 0:
            self._gossip.answer_digests(link, content)
            return
        records = []
        for item in content:
            try:
                records.append(model.decode_record(item))
            except (TypeError, ValueError) as exc:
                self._connector.record_refusal(
                    _invalid_record(exc), link.peer.name
                )
        self._gossip.merge(records, link, time.monotonic())

    def _handle_request(self, link: links.Link, body: Any) -> None:
        self._calls.serve(link, body)

    def _handle_reply(self, link: links.Link, body: Any) -> None:
        self._calls.handle_reply(link, body)

    def _handle_broadcast(self, link: links.Link, body: Any) -> None:
        if self._calls.handle_broadcast(body):
            targets = self._upkeep.link_targets(time.monotonic())
            self._gossip.flood("broadcast", body, link, targets)

    def _handle_sheet_delta(self, link: links.Link, body: Any) -> None:
        self.on_sheet_delta(link.peer.incarnation, body)

    def _handle_leave(self, link: links.Link, body: Any) -> None:
        record = model.decode_record(body)
        self._gossip.merge([record], link, time.monotonic())


def _invalid_record(exc: Exception) -> exceptions.FrameError:
    return exceptions.FrameError(
        "body",
        f"invalid record in a members frame: {decoding.describe(exc)}",
        "check the peer's version",
    )


def _oversize() -> exceptions.FrameError:
    return exceptions.FrameError(
        "oversize",
        "a frame exceeds the maximum size",
        "set the same [membership] max_frame_bytes on all peers",
    )
