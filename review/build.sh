#!/bin/sh
# Builds the stand-ins of the cases: Python sources, which need the standard
# library only.
cd "$(dirname "$0")" || exit 2
exec python3 -m compileall -q -l common 1 2 3 4 5
