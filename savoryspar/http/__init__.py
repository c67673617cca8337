"""The callers' side: a WSGI application and its server."""

from savoryspar.http.app import App, new_app
from savoryspar.http.operators import OperatorApp, serve_operators
from savoryspar.http.server import Server, new_server
