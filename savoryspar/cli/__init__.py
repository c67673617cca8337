"""The command line."""

from savoryspar.cli.main import main
