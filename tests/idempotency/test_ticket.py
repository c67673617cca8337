"""Tests of signed tickets and of the settings of their keys."""

import testtools

from savoryspar import idempotency
from savoryspar.conf.sections import idempotency as section

OLD = ("old", b"o" * 32)
NEW = ("new", b"n" * 32)
NOW = idempotency.ClockReading(5.0, 1000.0)


def issue(*keys):
    signer = idempotency.new_ticket_signer(keys, 60.0)
    return signer.issue("inc-1", "calle-libre", "registration", "", NOW)


class TicketTest(testtools.TestCase):
    def test_fields_survive_encoding(self):
        """A lost field would let another process or workspace run the order."""
        ticket = issue(NEW)
        read = idempotency.new_ticket_signer([NEW], 1.0).verify(ticket.text)
        for name in idempotency.Ticket.__slots__:
            self.assertEqual(getattr(ticket, name), getattr(read, name))
        self.assertEqual(1060.0, read.expires_at)

    def test_rotation_accepts_the_old_key(self):
        """Tickets issued before a rotation must stay valid after it."""
        signer = idempotency.new_ticket_signer([NEW, OLD], 60.0)
        self.assertEqual("inc-1", signer.verify(issue(OLD).text).incarnation)

    def test_any_changed_character_is_refused(self):
        """A forged ticket must not name another owner, workspace or expiry."""
        text = issue(NEW).text
        signer = idempotency.new_ticket_signer([NEW], 60.0)
        for position in range(len(text) - 1):
            other = "A" if text[position] != "A" else "B"
            forged = text[:position] + other + text[position + 1 :]
            self.assertRaises(idempotency.TicketError, signer.verify, forged)

    def test_malformed_tickets_are_refused(self):
        """A malformed header must be rejected and not crash the handler."""
        signer = idempotency.new_ticket_signer([NEW], 60.0)
        for text in ("", ".", "t1.new.x", "t1.new..", "é" * 9, "x" * 9999):
            self.assertRaises(idempotency.TicketError, signer.verify, text)

    def test_unknown_key_is_refused(self):
        """Tickets of a key removed from the settings must be rejected."""
        signer = idempotency.new_ticket_signer([NEW], 60.0)
        self.assertRaises(
            idempotency.TicketError, signer.verify, issue(OLD).text
        )

    def test_short_or_duplicate_keys_are_refused(self):
        """A guessable key would let anyone forge tickets."""
        good = "a:" + "5a" * 32
        self.assertEqual((("a", b"Z" * 32),), section.ticket_keys(good))
        for value in ("a:5a", "5a" * 32, "a:zz", f"{good} {good}"):
            self.assertRaises(ValueError, section.ticket_keys, value)
