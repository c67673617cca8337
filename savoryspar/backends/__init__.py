"""HTTP clients of backend servers."""

from savoryspar.backends.answers import (
    DEADLINE_GRACE_S,
    MAX_BUFFERED_BYTES,
    Answer,
    read_body,
)
from savoryspar.backends.availability import (
    ServerAvailability,
    new_server_availability,
)
from savoryspar.backends.bounded import open_connection
from savoryspar.backends.client import Client, new_client
from savoryspar.backends.connections import (
    RECEIVE_BUFFER_BYTES,
    Connections,
    keepalive_options,
    new_connections,
)
from savoryspar.backends.ends import End
from savoryspar.backends.exceptions import (
    BackendError,
    CallExpiredError,
    CallOutcomeUnknownError,
    CallRefusedError,
    RateLimitedError,
    ServerForbiddenError,
    StreamBrokenError,
    UnattributedAnswerError,
)
from savoryspar.backends.model import Server, StageCall, StageResult
from savoryspar.backends.pooled import new_strict_pool_manager
from savoryspar.backends.relay import EngineStream
from savoryspar.backends.reports import CacheReport, LoadReport
from savoryspar.backends.requests import (
    AnswerFacts,
    BackendSend,
    BadRequestError,
    CallerRequest,
    PromptPart,
)
