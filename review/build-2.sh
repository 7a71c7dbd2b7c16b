#!/bin/sh
# Builds the stand-ins of the scripts of the second review. They are Python
# programs of the standard library alone, so that nothing has to be compiled:
# this checks the version and that the file can be read.
set -e
cd "$(dirname "$0")"
python3 - <<'EOF'
import ast
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is required")
ast.parse(pathlib.Path("rehearsal.py").read_text(encoding="utf-8"))
EOF
