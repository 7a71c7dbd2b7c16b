"""Replicated part: the one pool in which each VM is."""

from wigeonport.maintenance_answers import MoveFinished, MoveRefused
from wigeonport.state_commands import HANDLERS, FinishMove


class PoolState:
    """Pool membership of the VMs.

    The fleet version assigns a VM to a pool; the membership follows in one
    step after a confirmed drain. A VM that a version removes stays a member
    until then. Each VM is one key, so it is in exactly one pool.

    Attributes:
        pools: Pool id by VM id.
    """

    __slots__ = ("pools",)

    def __init__(self):
        self.pools = {}

    def add_new_workers(self, fleet):
        """Lets VMs that are new in a version join; returns their ids."""
        joined = [w for w in fleet.workers.values() if w.id not in self.pools]
        for worker in joined:
            self.pools[worker.id] = worker.pool
        return [worker.id for worker in joined]

    def members(self, pool):
        """Returns the ids of the VMs in a pool, ordered."""
        return sorted(id for id, name in self.pools.items() if name == pool)

    def target(self, fleet, worker):
        """Returns the pool that the version assigns, None if removed."""
        record = fleet.workers.get(worker)
        return None if record is None else record.pool

    def pending(self, fleet):
        """Returns VM, present and assigned pool of all pending moves."""
        return [
            (id, pool, self.target(fleet, id))
            for id, pool in sorted(self.pools.items())
            if pool != self.target(fleet, id)
        ]

    def move(self, worker, target):
        """Moves a VM in one step; None removes it."""
        if target is None:
            del self.pools[worker]
        else:
            self.pools[worker] = target

    def to_document(self):
        """Returns plain data."""
        return {"pools": dict(sorted(self.pools.items()))}


def pool_state_from_document(document):
    """Returns the PoolState of a snapshot."""
    state = PoolState()
    state.pools = dict(document["pools"])
    return state


@HANDLERS.register(FinishMove)
def handle_finish_move(state, command, now_ms):
    """Moves a drained VM to the pool that the version assigns to it."""
    worker = command.worker
    findings = _move_findings(state, command)
    if findings:
        return MoveRefused(worker, findings)
    state.pools.move(worker, command.target)
    state.maintenance.remove_from_grant(command.grant, worker, now_ms)
    if command.target is None:
        state.maintenance.remove_worker(worker)
    else:
        state.maintenance.hold(worker, now_ms + command.hold_ms)
    return MoveFinished(worker, command.source, command.target)


def _move_findings(state, command):
    findings = []
    present = state.pools.pools.get(command.worker)
    if present is None:
        return [f"VM {command.worker!r} is in no pool"]
    if present != command.source:
        findings.append(f"the VM is in pool {present!r}")
    target = state.pools.target(state.fleet.fleet, command.worker)
    if target != command.target or target == present:
        findings.append(f"the version assigns the VM to {target!r}")
    grant = state.maintenance.grants.get(command.grant)
    if grant is None:
        findings.append(f"grant {command.grant!r} is not live")
    elif command.worker not in grant.drained:
        findings.append("the drain of the VM is not confirmed")
    return findings
