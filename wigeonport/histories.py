"""Event recorders: turn the notices of a process into its events."""

from wigeonport.consensus_requests import (
    EntryApplied,
    LeadershipNotice,
    SnapshotInstalled,
)
from wigeonport.endpoints import EndpointChanged, EndpointLost
from wigeonport.registries import Registry
from wigeonport.state_answers import PatchAccepted, PatchRefused

recorders = Registry("history recorder")


def records(kind):
    """Returns a decorator that registers a recorder of a class of notices.

    Args:
        kind: Class of notices; the recorder takes the EventLog and a notice.
    """
    return recorders.register(kind)


@records(LeadershipNotice)
def record_leadership(events, notice):
    """Records that the term or the leader changed."""
    events.record("leader.changed", term=notice.term, leader=notice.leader_id)


@records(SnapshotInstalled)
def record_install(events, notice):
    """Records that a snapshot replaced the state."""
    events.record("snapshot.installed", index=notice.index)


@records(EntryApplied)
def record_applied(events, notice):
    """Records a committed command with its answer."""
    answer = notice.answer
    fields = {"index": notice.index, "answer": type(answer).__name__}
    if isinstance(answer, PatchAccepted):
        fields |= {"patch": answer.patch, "version": answer.version}
    elif isinstance(answer, PatchRefused):
        fields |= {"patch": answer.patch, "why": answer.why}
    events.record(f"log.{type(notice.command).__name__}", **fields)


@records(EndpointChanged)
def record_endpoint(events, notice):
    """Records the new state of an endpoint."""
    record = notice.record
    events.record(
        f"endpoint.{record.state}",
        endpoint=record.endpoint_id,
        service=record.service_id,
        zone=record.availability_zone,
        owner=notice.owner,
    )


@records(EndpointLost)
def record_loss(events, notice):
    """Records that an endpoint was lost and gets no more requests."""
    events.record("endpoint.lost", endpoint=notice.endpoint_id)


async def record_history(inbound, events):
    """Records the notices of other tasks; ignores those without a recorder."""
    async for notice in inbound:
        recorder = recorders.entries.get(type(notice))
        if recorder is not None:
            recorder(events, notice)
