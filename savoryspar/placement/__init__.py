"""Placement of models on engines: plans loads and unloads and sends them."""

from savoryspar.placement.client import EngineClient, new_engine_client
from savoryspar.placement.dispatcher import (
    Dispatcher,
    new_dispatcher,
    sender_of,
)
from savoryspar.placement.exceptions import (
    EngineRequestError,
    PlacementError,
    StaleSenderError,
)
from savoryspar.placement.fencing import FencingClock
from savoryspar.placement.model import (
    ChangeRole,
    Copy,
    CopyState,
    EngineState,
    Load,
    Unload,
)
from savoryspar.placement.options import Options, new_options
from savoryspar.placement.planner import load_budget, plan
