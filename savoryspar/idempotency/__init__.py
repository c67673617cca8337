"""Non-idempotent work runs at most once: tickets, ledger and hand-over."""

from savoryspar.idempotency.answer import Answer, RunState, unknown
from savoryspar.idempotency.clocks import ClockReading, read_clocks
from savoryspar.idempotency.exceptions import (
    LedgerFullError,
    OrderError,
    TicketError,
)
from savoryspar.idempotency.ledger import Ledger, new_ledger
from savoryspar.idempotency.links import Links, NoLinks
from savoryspar.idempotency.order import Order
from savoryspar.idempotency.service import (
    OrderService,
    key_digest,
    new_order_service,
)
from savoryspar.idempotency.ticket import (
    Ticket,
    TicketSigner,
    new_ticket_signer,
)
