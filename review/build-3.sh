#!/bin/sh
# Prepares the scripts of review/11 to review/15. Their stand-ins use only the
# standard library of Python 3.11, so that there is nothing to install; the
# programs of the system come from the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
exec python3 - <<'CODE'
import pathlib

for path in sorted(pathlib.Path("review").glob("1[1-5]/*.py")):
    compile(path.read_text(), str(path), "exec")
path = pathlib.Path("review/stage.py")
compile(path.read_text(), str(path), "exec")
CODE
