"""Copies of the parts of the replicated state on which the leader decides."""

from wigeonport.states import ReplicatedState

COPIED_PARTS = ("batch", "routes", "upkeep")


def copy_parts(state):
    """Returns a ReplicatedState with copies of the parts for batch jobs."""
    copy = ReplicatedState()
    for name in COPIED_PARTS:
        setattr(copy, name, getattr(state, name).copy())
    return copy
