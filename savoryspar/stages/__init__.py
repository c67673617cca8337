"""Stages of requests: pieces, their batching and their placement in zones."""

from savoryspar.stages.batching import BatchQueue, PoolLoad, new_batch_queue
from savoryspar.stages.chain import Chain, new_chain
from savoryspar.stages.choice import (
    SLOW_RATIO,
    ServerOutlook,
    groups_to_leave,
    retry_s,
)
from savoryspar.stages.gatherers import (
    GathererCache,
    choose_gatherer,
    rendezvous,
)
from savoryspar.stages.model import (
    MAX_PIECES,
    MAX_WORKSPACE_CHARS,
    Failure,
    Group,
    Piece,
    decode_group,
)
from savoryspar.stages.pace import ServerPace, new_server_pace
from savoryspar.stages.reservations import Reservations, new_reservations
from savoryspar.stages.returns import Returns, new_returns
from savoryspar.stages.zones import ZoneWaits, new_zone_waits
