"""Histories: record committed commands as events of this process."""

from wigeonport.consensus_requests import (
    Applied,
    Installed,
    LeadershipNotice,
)
from wigeonport.registries import Registry
from wigeonport.state_answers import PatchAccepted, PatchRefused

recorders = Registry("history recorder")


def records(kind):
    """Registers a function ``(events, notice)`` for a class of notices."""
    return recorders.register(kind)


@records(LeadershipNotice)
def record_leadership(events, notice):
    """Records a new term or leader."""
    events.record("leader.changed", term=notice.term, leader=notice.leader_id)


@records(Installed)
def record_install(events, notice):
    """Records that a snapshot replaced the state."""
    events.record("snapshot.installed", index=notice.index)


@records(Applied)
def record_applied(events, notice):
    """Records a committed command and what became of it."""
    answer = notice.answer
    fields = {"index": notice.index, "answer": type(answer).__name__}
    if isinstance(answer, PatchAccepted):
        fields |= {"patch": answer.patch, "version": answer.version}
    elif isinstance(answer, PatchRefused):
        fields |= {"patch": answer.patch, "why": answer.why}
    events.record(f"log.{type(notice.command).__name__}", **fields)


async def record_history(inbound, events):
    """Records the notices of the consensus task."""
    async for notice in inbound:
        recorder = recorders.entries.get(type(notice))
        if recorder is not None:
            recorder(events, notice)
