"""Selects the backend server that runs a stage."""

from savoryspar.routing.affinity import MAX_BLOCKS
from savoryspar.routing.exceptions import NoServerError
from savoryspar.routing.model import Call, Choice, Outcome
from savoryspar.routing.options import Options, new_options
from savoryspar.routing.policies import BLOCK_TOKENS, PREFILL_TOKENS_PER_S
from savoryspar.routing.reports import ReportReader, new_report_reader
from savoryspar.routing.router import Router, new_router
from savoryspar.routing.selection import Obstacle
from savoryspar.routing.suspects import CrashSuspects, Verdict, fingerprint
