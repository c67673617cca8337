"""At-most-once execution of non-idempotent requests (orders).

A signed ticket names the process that may run an order. That process records
the order in a ledger, which it hands over to a peer when it shuts down.
"""

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
