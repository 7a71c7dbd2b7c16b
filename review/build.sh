#!/bin/sh
# Checks that the stand-ins of the scripts can be loaded; they are in Python
# and need no build of their own.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH=target/deps PYTHONDONTWRITEBYTECODE=1 python3 -c '
import sys
sys.path[:0] = ["review"]
import harness
'
