"""Decides which backend server runs a stage."""

from savoryspar.routing.exceptions import NoServerError
from savoryspar.routing.model import Call, Choice, Outcome
from savoryspar.routing.router import Router, new_router
