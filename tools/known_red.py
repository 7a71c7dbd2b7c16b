"""Runs pytest and accepts exactly the failures listed in KNOWN-RED.txt.

Usage: known_red.py -- COMMAND...

A listed test that passes counts as a failure too, so that the list stays
current.
"""

import pathlib
import re
import subprocess
import sys

LIST_PATH = pathlib.Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"
FAILED_LINE = re.compile(r"^(?:FAILED|ERROR) (\S+)", re.MULTILINE)


def read_known_failures():
    """Returns a mapping of each listed test id to its whole entry."""
    known_entries = {}
    for line in LIST_PATH.read_text().splitlines():
        if line.strip() and not line.startswith("#"):
            known_entries[line.split("|")[0].strip()] = line
    return known_entries


def run(command):
    """Runs the test command; returns its exit status and its output.

    Prints the output while the command runs.
    """
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
    """Runs the tests; returns 0 if exactly the listed tests failed."""
    command = arguments[arguments.index("--") + 1 :]
    known_entries = read_known_failures()
    status, output = run(command)
    failed = set(FAILED_LINE.findall(output))
    for test_id in sorted(failed & known_entries.keys()):
        print(f"known failure: {known_entries[test_id]}")
    for test_id in sorted(known_entries.keys() - failed):
        print(f"listed in KNOWN-RED.txt but did not fail: {test_id}")
    if status == 1 and failed and failed == known_entries.keys():
        return 0
    if status == 0 and known_entries:
        return 1
    return status


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
