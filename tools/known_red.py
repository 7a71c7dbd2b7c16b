"""Runs pytest and accepts exactly the failures listed in KNOWN-RED.txt.

Usage: known_red.py -- COMMAND...

A listed test that passes is a failure too, so that the list stays current.
"""

import pathlib
import re
import subprocess
import sys

LIST = pathlib.Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"
FAILED = re.compile(r"^(?:FAILED|ERROR) (\S+)", re.MULTILINE)


def read_known():
    """Returns the listed test ids, mapped to their whole entries."""
    known = {}
    for line in LIST.read_text().splitlines():
        if line.strip() and not line.startswith("#"):
            known[line.split("|")[0].strip()] = line
    return known


def run(command):
    """Runs the test command, echoes its output and returns both."""
    process = subprocess.Popen(
        [*command, "-rfE"], stdout=subprocess.PIPE, text=True
    )
    lines = []
    for line in process.stdout:
        sys.stdout.write(line)
        sys.stdout.flush()
        lines.append(line)
    return process.wait(), "".join(lines)


def main(arguments):
    """Returns the exit status: 0 when the failures equal the list."""
    command = arguments[arguments.index("--") + 1 :]
    known = read_known()
    status, output = run(command)
    failed = set(FAILED.findall(output))
    for test_id in sorted(failed & known.keys()):
        print(f"known failure: {known[test_id]}")
    for test_id in sorted(known.keys() - failed):
        print(f"listed in KNOWN-RED.txt but did not fail: {test_id}")
    if status == 1 and failed and failed == known.keys():
        return 0
    if status == 0 and known:
        return 1
    return status


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
