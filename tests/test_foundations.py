"""Tests of registries, channels and findings."""

import pytest
import trio

from wigeonport.channels import DROP_OLDEST, REFUSE, Mailbox, Reply, ask
from wigeonport.findings import Findings
from wigeonport.registries import DuplicateNameError, Registry


def test_registry_rejects_duplicate_name():
    """A second entry of the same name must not silently replace the first."""
    registry = Registry("policy")
    registry.register("first")(object())
    with pytest.raises(DuplicateNameError):
        registry.register("first")(object())


def test_registry_names_the_known_entries():
    """The error for an unknown name must list the valid names.

    Otherwise an operator cannot see what to write instead.
    """
    registry = Registry("policy")
    registry.register("first")(object())
    assert "first" in registry.get("second").error


def test_full_mailbox_refuses_or_drops_the_oldest():
    """A full mailbox must not grow; ``drop_oldest`` keeps the new message."""

    async def scenario():
        refusing = Mailbox("refusing", 1, REFUSE)
        dropping = Mailbox("dropping", 1, DROP_OLDEST)
        assert [await refusing.put(1), await refusing.put(2)] == [True, False]
        assert [await dropping.put(1), await dropping.put(2)] == [True, True]
        assert (await refusing.get(), await dropping.get()) == (1, 2)
        assert (refusing.dropped, dropping.dropped) == (1, 1)

    trio.run(scenario)


def test_ask_ends_at_its_deadline():
    """A task that never answers must not block the caller forever."""

    async def scenario():
        mailbox = Mailbox("silent", 1)
        answer = await ask(mailbox, lambda reply: reply, 10)
        assert answer.is_error()

    trio.run(scenario)


def test_reply_takes_one_answer():
    """A second answer must not replace the first one."""

    async def scenario():
        reply = Reply()
        assert reply.send("first")
        assert not reply.send("second")
        assert (await reply.wait(10)).ok == "first"

    trio.run(scenario)


def test_findings_are_reported_together():
    """A check must report all of its findings, not only the first."""
    findings = Findings()
    findings.add("a.yaml:1: x", "is missing")
    findings.add("a.yaml:2: y", "is not a number")
    assert str(findings.result(None).error).count("\n") == 1
