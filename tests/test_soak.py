"""The short soak over real processes."""

import pathlib

import soak
import trio


def test_short_soak_breaks_no_guarantee():
    """Guards against lost, doubled or invented outcomes under failures.

    The seed fixes the failures; no assertion depends on how long a step
    took.
    """
    assert soak.main(["--short", "--seed", "44"]) == 0


class QuietDeployment:
    """A deployment without processes."""

    def entry_addresses(self):
        """Returns no entry."""
        return []

    def path(self, name):
        """Returns a file name."""
        return pathlib.Path(name)


class QuietSoak:
    """A soak whose parts are replaced."""

    def __init__(self):
        self.runner = self
        self.deployment = QuietDeployment()


def test_callers_end_before_the_soak(monkeypatch):
    """Guards against sendings that are cancelled and leave no line.

    Under load a soak named R4 for a run whose sending had been cancelled
    when the failures were over.
    """
    ended = []

    async def forever(*arguments):
        await trio.sleep_forever()

    async def at_once(*arguments):
        ended.append("failures")

    async def later(*arguments):
        await trio.sleep(0.05)
        ended.append("callers")

    monkeypatch.setattr(soak, "submit_patches", forever)
    monkeypatch.setattr(soak, "watch_versions", forever)
    monkeypatch.setattr(soak, "run_faults", at_once)
    monkeypatch.setattr(soak, "run_load", later)
    trio.run(soak.run_soak, QuietSoak(), 1, 1)
    assert ended == ["failures", "callers"]
