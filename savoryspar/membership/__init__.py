"""Membership of entry VMs: links, view of live members, requests and facts.

The modules ``sheet_watch`` and ``sheet_replicator`` depend on the sheet and
are not imported here, because an entry VM on the users' platform has no sheet.
"""

from savoryspar.membership.exceptions import (
    FrameError,
    MembershipError,
    PeerUnreachableError,
)
from savoryspar.membership.model import Member, Record, State, View
from savoryspar.membership.polls import ask_peers
from savoryspar.membership.reader import Reader
from savoryspar.membership.service import Membership, new_membership
from savoryspar.membership.topology import zone_hops
from savoryspar.membership.traffic import Traffic, kind_of
