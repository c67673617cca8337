"""Routes, workspaces and backend servers that the platform publishes."""

from savoryspar.fleet.cold import (
    MAX_COLD_S,
    ColdTable,
    new_cold_table,
    told_by_name,
)
from savoryspar.fleet.eligibility import (
    Exclusion,
    exclusion,
    is_at_home,
    region_of,
    request_regions,
)
from savoryspar.fleet.evacuations import Evacuations
from savoryspar.fleet.exceptions import (
    DocumentError,
    HistoryGoneError,
    StoreError,
)
from savoryspar.fleet.holder import ConfigurationHolder, new_holder
from savoryspar.fleet.model import (
    BackendEntry,
    CallerLimits,
    Configuration,
    EnginePool,
    Route,
    RouteKind,
    Service,
    Stage,
    StagePool,
    Workspace,
)
from savoryspar.fleet.server_registry import ServerRegistry, new_server_registry
