"""Runs the command line with ``python -m savoryspar``."""

import sys

from savoryspar import cli

if __name__ == "__main__":
    sys.exit(cli.main(sys.argv))
