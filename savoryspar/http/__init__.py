"""The callers' side: a WSGI application and its server."""

from savoryspar.http.app import App, new_app
from savoryspar.http.hangup import CallerGoneError, cancel_on_hangup
from savoryspar.http.operators import OperatorApp, serve_operators
from savoryspar.http.protocol import FIELDS_KEY, TARGET_KEY
from savoryspar.http.server import Server, new_listener, new_server
