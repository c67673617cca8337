"""The HTTP server for callers and operators, and their WSGI applications.

The application of the product's own interface, ``http.app``, is not imported
here. It needs the scheduler, the ledger and the sheet, which an entry VM on the
users' platform does not use; importing them would take a sixth of its start-up
time.
"""

from savoryspar.http.connection_budget import (
    ConnectionBudget,
    max_connections,
    new_connection_budget,
)
from savoryspar.http.exceptions import (
    BadBodyError,
    BodyTooLongError,
    UploadError,
    UploadLateError,
    UploadRefusedError,
    UploadStalledError,
)
from savoryspar.http.hangup import CallerGoneError, cancel_on_hangup
from savoryspar.http.operators import OperatorApp, serve_operators
from savoryspar.http.protocol import FIELDS_KEY, TARGET_KEY, cut_response
from savoryspar.http.response_budget import (
    ResponseBudget,
    new_response_budget,
)
from savoryspar.http.server import Server, new_server, new_server_at
from savoryspar.http.upload_budget import (
    DEFAULT_MEMORY_MB,
    RETRY_S,
    Upload,
    UploadBudget,
)
from savoryspar.http.uploads import BodyReader, new_body_reader
