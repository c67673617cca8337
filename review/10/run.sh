#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case did not run.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
PYTHONPATH="$folder/.." PYTHONDONTWRITEBYTECODE=1 exec timeout 115 \
    python3 "$folder/case.py"
