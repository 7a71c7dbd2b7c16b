"""Replicated part: the pool that each VM is in."""

from wigeonport.maintenance_answers import MoveFinished, MoveRefused
from wigeonport.state_commands import HANDLERS, FinishMove


class PoolState:
    """Pool membership of the VMs.

    A fleet version assigns each VM to a pool; a VM changes its pool in one
    step, after its drain is confirmed. A VM that a version removes stays a
    member of its pool until then. The VM id is the key, so each VM is in
    exactly one pool.

    Attributes:
        pools: Maps VM id to pool id.
    """

    __slots__ = ("pools",)

    def __init__(self):
        self.pools = {}

    def add_new_workers(self, fleet):
        """Adds VMs that are new in a version; returns their ids."""
        new_workers = [
            w for w in fleet.workers.values() if w.id not in self.pools
        ]
        for worker in new_workers:
            self.pools[worker.id] = worker.pool
        return [worker.id for worker in new_workers]

    def members(self, pool):
        """Returns the sorted ids of the VMs in a pool."""
        return sorted(id for id, name in self.pools.items() if name == pool)

    def target(self, fleet, worker):
        """Returns the pool that a version assigns a VM to, None if removed."""
        record = fleet.workers.get(worker)
        return None if record is None else record.pool

    def pending(self, fleet):
        """Returns (VM id, current pool, assigned pool) of pending moves."""
        return [
            (id, pool, self.target(fleet, id))
            for id, pool in sorted(self.pools.items())
            if pool != self.target(fleet, id)
        ]

    def move(self, worker, target):
        """Moves a VM to a pool; the target None removes the VM."""
        if target is None:
            del self.pools[worker]
        else:
            self.pools[worker] = target

    def to_document(self):
        """Returns the state as plain data."""
        return {"pools": dict(sorted(self.pools.items()))}


def pool_state_from_document(document):
    """Returns the PoolState of a snapshot."""
    state = PoolState()
    state.pools = dict(document["pools"])
    return state


@HANDLERS.register(FinishMove)
def handle_finish_move(state, command, now_ms):
    """Moves a drained VM to the pool that the version assigns it to."""
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
    current_pool = state.pools.pools.get(command.worker)
    if current_pool is None:
        return [f"VM {command.worker!r} is in no pool"]
    if current_pool != command.source:
        findings.append(f"the VM is in pool {current_pool!r}")
    target = state.pools.target(state.fleet.fleet, command.worker)
    if target != command.target or target == current_pool:
        findings.append(f"the version assigns the VM to {target!r}")
    grant = state.maintenance.grants.get(command.grant)
    if grant is None:
        findings.append(f"grant {command.grant!r} is not live")
    elif command.worker not in grant.drained:
        findings.append("the drain of the VM is not confirmed")
    return findings
