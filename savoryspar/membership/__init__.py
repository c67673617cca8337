"""Peers: links, live view, requests, facts and spread configuration."""

from savoryspar.membership.exceptions import (
    FrameError,
    MembershipError,
    PeerUnreachableError,
)
from savoryspar.membership.model import Member, Record, State, View
from savoryspar.membership.reader import Reader
from savoryspar.membership.service import Membership, new_membership
from savoryspar.membership.sheet_watch import SheetWatch, new_sheet_watch
from savoryspar.membership.spread import SheetSpreader, new_sheet_spreader
