"""Tests of the soak of requests over real processes."""

import pathlib

import soak
import trio


def test_short_soak_breaks_no_guarantee():
    """Fails if a request is lost, run twice or answered without a run.

    The failures are kills, suspensions and network partitions. The seed
    fixes their order; no assertion depends on how long a step took.
    """
    assert soak.main(["--short", "--seed", "44"]) == 0


class EmptyDeployment:
    """A deployment without processes."""

    def entry_addresses(self):
        """Returns the addresses of the entries, of which there are none."""
        return []

    def path(self, name):
        """Returns the path of a file."""
        return pathlib.Path(name)


class StubSoak:
    """State of a soak whose tasks the test replaces."""

    def __init__(self):
        self.runner = self
        self.deployment = EmptyDeployment()


def test_soak_waits_for_callers_after_the_failures(monkeypatch):
    """Fails if open requests are cancelled at the end of the failures.

    A cancelled request leaves no line. Under load, the checker reported a
    violation of R4 for the run of such a request.
    """
    ended = []

    async def run_until_cancelled(*arguments):
        await trio.sleep_forever()

    async def end_failures(*arguments):
        ended.append("failures")

    async def end_callers_later(*arguments):
        await trio.sleep(0.05)
        ended.append("callers")

    monkeypatch.setattr(soak, "submit_patches", run_until_cancelled)
    monkeypatch.setattr(soak, "watch_versions", run_until_cancelled)
    monkeypatch.setattr(soak, "run_faults", end_failures)
    monkeypatch.setattr(soak, "run_load", end_callers_later)
    trio.run(soak.run_soak, StubSoak(), 1, 1)
    assert ended == ["failures", "callers"]
