"""Tests of the limits of decoded data."""

import json
import math

import cbor2
import hypothesis
from hypothesis import strategies
import testtools

from savoryspar import decoding

JSON_VALUES = strategies.recursive(
    strategies.one_of(
        strategies.none(),
        strategies.booleans(),
        strategies.integers(-(2**63), 2**63),
        strategies.floats(allow_nan=False, allow_infinity=False),
        strategies.text(),
    ),
    lambda inner: strategies.one_of(
        strategies.lists(inner, max_size=4),
        strategies.dictionaries(strategies.text(), inner, max_size=4),
    ),
)


class DecodingTest(testtools.TestCase):
    @hypothesis.given(JSON_VALUES)
    @hypothesis.settings(derandomize=True, deadline=None)
    def test_valid_documents_are_decoded(self, value):
        """Guards against limits that refuse valid documents."""
        for ascii_only in (False, True):
            data = json.dumps(value, ensure_ascii=ascii_only).encode()
            self.assertEqual(value, decoding.decode_json(data, 1 << 20))
            self.assertEqual(value, decoding.decode_envelope(data, 1 << 20))

    def test_depth_is_limited_alike_at_any_depth_of_the_stack(self):
        """Guards against VMs that differ in which documents they refuse."""

        def decode_below(levels, data):
            if levels:
                return decode_below(levels - 1, data)
            return decoding.decode_json(data, 1 << 20)

        for levels in (0, 200, 700):
            deepest = b"[" * 33 + b"]" * 33
            decode_below(levels, deepest)
            for depth in (34, 100, 1500, 100_000):
                for data in (b"[" * depth + b"]" * depth, b"[" * depth):
                    self.assertRaises(
                        decoding.DecodingError, decode_below, levels, data
                    )

    def test_pairs_of_escapes_are_one_character(self):
        """Guards against valid text refused as a lone surrogate."""
        value = {"a": "\U0001f600"}
        data = json.dumps(value).encode()
        self.assertEqual(value, decoding.decode_json(data, 100))

    def test_size_is_limited(self):
        """Guards against documents that exhaust the memory."""
        self.assertEqual([], decoding.decode_json(b"[]", 2))
        self.assertRaises(
            decoding.DecodingError, decoding.decode_json, b"[] ", 2
        )

    def test_numbers_are_checked(self):
        """Guards against numbers that no comparison excludes."""
        for value in (True, None, "1", math.nan, math.inf, -1, 10**400, []):
            for check in (decoding.integer, decoding.number):
                self.assertRaises(
                    decoding.DecodingError, check, value, 0, 2**63
                )
        self.assertEqual(1.5, decoding.number(1.5, 0, 2))
        self.assertRaises(decoding.DecodingError, decoding.integer, 1.0, 0)

    def test_reading_raises_one_error(self):
        """Guards against an error that a caller does not expect."""
        for exc in (
            *(KeyError("k"), IndexError(), TypeError(), ValueError()),
            *(OverflowError(), ZeroDivisionError(), RecursionError()),
            *(AttributeError(), UnicodeDecodeError("utf-8", b"", 0, 1, "x")),
        ):
            with testtools.ExpectedException(decoding.DecodingError):
                with decoding.reading("x"):
                    raise exc

    def test_messages_are_bounded(self):
        """Guards against log lines as long as the data."""
        long = ["x" * (1 << 20), 10**4000]
        for value in (*long, long, {"a": long}):
            for check in (decoding.text, decoding.token, decoding.address):
                exc = self.assertRaises(decoding.DecodingError, check, value)
                self.assertLess(len(str(exc)), 300)

    def test_tagged_values_nest_no_deeper(self):
        """Guards against tags that exhaust the stack."""
        for tag in (b"\xc2", b"\xd9\xd9\xf7"):
            data = tag * 5000 + b"\x01"
            self.assertRaises(
                decoding.DecodingError, decoding.decode_cbor, data
            )

    def test_integers_of_peers_are_limited(self):
        """Guards against lost digests of rows, and integers no float holds."""
        for value in (2**64, 2**256 - 1):
            self.assertEqual(value, decoding.decode_cbor(cbor2.dumps(value)))
        for value in (2**256, 10**400, -(2**64) - 1):
            self.assertIs(
                cbor2.undefined, decoding.decode_cbor(cbor2.dumps(value))
            )
