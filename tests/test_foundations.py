"""Tests of registries, channels and findings."""

import pytest
import trio

from wigeonport.channels import DROP_OLDEST, REFUSE, Mailbox, Reply, ask
from wigeonport.findings import Findings
from wigeonport.registries import DuplicateNameError, Registry


def test_registry_rejects_duplicate_name():
    """Guards against one entry silently replacing another."""
    registry = Registry("policy")
    registry.register("first")(object())
    with pytest.raises(DuplicateNameError):
        registry.register("first")(object())


def test_registry_names_the_known_entries():
    """Guards against an error that leaves the operator guessing."""
    registry = Registry("policy")
    registry.register("first")(object())
    assert "first" in registry.get("second").error


def test_full_mailbox_refuses_or_drops_the_oldest():
    """Guards against unbounded growth and against losing the newest."""

    async def scenario():
        refusing = Mailbox("refusing", 1, REFUSE)
        dropping = Mailbox("dropping", 1, DROP_OLDEST)
        assert [await refusing.put(1), await refusing.put(2)] == [True, False]
        assert [await dropping.put(1), await dropping.put(2)] == [True, True]
        assert (await refusing.get(), await dropping.get()) == (1, 2)
        assert (refusing.dropped, dropping.dropped) == (1, 1)

    trio.run(scenario)


def test_ask_ends_at_its_deadline():
    """Guards against a caller that waits for good for a lost answer."""

    async def scenario():
        mailbox = Mailbox("silent", 1)
        answer = await ask(mailbox, lambda reply: reply, 10)
        assert answer.is_error()

    trio.run(scenario)


def test_reply_takes_one_answer():
    """Guards against a late answer overwriting the first."""

    async def scenario():
        reply = Reply()
        assert reply.send("first")
        assert not reply.send("second")
        assert (await reply.wait(10)).ok == "first"

    trio.run(scenario)


def test_findings_are_reported_together():
    """Guards against a check that stops at the first fault."""
    findings = Findings()
    findings.add("a.yaml:1: x", "is missing")
    findings.add("a.yaml:2: y", "is not a number")
    assert str(findings.result(None).error).count("\n") == 1
