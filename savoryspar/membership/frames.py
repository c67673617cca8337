"""Frames between peers: ``[version, type, incarnation, sequence, body]``.

Frames are encoded in CBOR.
"""

from typing import Any

import cbor2

from savoryspar import decoding
from savoryspar.membership import exceptions

VERSION = 1
TYPES = (
    "hello",
    "heartbeat",
    "members",
    "request",
    "reply",
    "broadcast",
    "sheet_delta",
    "leave",
)


class Frame:
    """One decoded frame."""

    __slots__ = ("body", "incarnation", "kind", "sequence")

    def __init__(self, kind: str, incarnation: str, sequence: int, body: Any):
        self.kind = kind
        self.incarnation = incarnation
        self.sequence = sequence
        self.body = body


def encode(kind: str, incarnation: str, sequence: int, body: Any) -> bytes:
    """Encodes a frame.

    Raises:
        FrameError: The body has values that cannot be encoded.
    """
    try:
        return cbor2.dumps([VERSION, kind, incarnation, sequence, body])
    except Exception as exc:
        # The library documents no common base class for its errors.
        raise exceptions.FrameError(
            "unencodable",
            f"a {kind} frame cannot be encoded: {decoding.describe(exc)}",
            "check where its text and numbers are from",
        ) from exc


def decode(raw: bytes | str) -> Frame:
    """Decodes a frame.

    Raises:
        FrameError: The frame is malformed, or its version or type is unknown.
    """
    try:
        items = decoding.decode_cbor(
            raw if isinstance(raw, bytes) else raw.encode()
        )
    except decoding.DecodingError as exc:
        raise _malformed(f"a frame cannot be decoded: {exc}") from exc
    if not isinstance(items, list) or not items:
        raise _malformed("a frame must be a non-empty list")
    if items[0] != VERSION:
        raise exceptions.FrameError(
            "version",
            f"unsupported frame version {items[0]!r:.20}",
            f"use version {VERSION}, the only supported one",
        )
    if len(items) != 5:
        raise _malformed(f"a frame has {len(items)} items instead of 5")
    _, kind, incarnation, sequence, body = items
    if kind not in TYPES:
        raise exceptions.FrameError(
            "type",
            f"unknown frame type {kind!r:.20}",
            "use one of " + ", ".join(TYPES),
        )
    if not isinstance(incarnation, str) or type(sequence) is not int:
        raise _malformed(
            "the incarnation or sequence of a frame has the wrong type"
        )
    return Frame(kind, incarnation, sequence, body)


class SequenceChecker:
    """Checks that the frames of a link have one sender and rising numbers."""

    __slots__ = ("incarnation", "last")

    def __init__(self) -> None:
        self.incarnation = ""
        self.last = 0

    def accept(self, frame: Frame) -> None:
        """Checks a frame and records its sender and sequence number.

        Raises:
            FrameError: The frame is replayed or from another incarnation.
        """
        if self.incarnation and frame.incarnation != self.incarnation:
            raise exceptions.FrameError(
                "incarnation",
                f"a frame from {frame.incarnation!r:.40} arrived on the"
                f" link of {self.incarnation}",
                "open a link for each incarnation",
            )
        if frame.sequence <= self.last:
            raise exceptions.FrameError(
                "replay",
                f"sequence number {frame.sequence} is not above {self.last}",
                "look for a proxy that replays data between peers",
            )
        self.incarnation = frame.incarnation
        self.last = frame.sequence


def _malformed(message: str) -> exceptions.FrameError:
    return exceptions.FrameError(
        "malformed", message, "check which client connects to the peer port"
    )
