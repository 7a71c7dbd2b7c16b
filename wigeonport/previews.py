"""Previews: the changes, moves and drains that a patch would cause."""

from expression import Error, Ok, Result

from wigeonport.fleet_changes import diff

REMOVED = "removed"


class Move:
    """A VM that changes pools or leaves the fleet; it drains first.

    Attributes:
        worker: VM id.
        source: Pool that the VM leaves, or None for a new VM.
        target: Pool that the VM joins, or None for a removed VM.
    """

    __slots__ = ("worker", "source", "target")

    def __init__(self, worker, source, target):
        self.worker = worker
        self.source = source
        self.target = target

    def to_document(self):
        """Returns the move as JSON data."""
        return {name: getattr(self, name) for name in self.__slots__}

    def __str__(self):
        return f"{self.worker}: {self.source} -> {self.target or REMOVED}"


class BudgetEffect:
    """What a patch changes for one service.

    Attributes:
        service: Service id.
        workers_before: Number of workers in the service's pool before the
            patch.
        workers_after: The same after the patch.
        capacity_before: Number of workers promised before the patch.
        capacity_after: The same after the patch.
        allowed_before: Number of VMs that may be unavailable before the
            patch.
        allowed_after: The same after the patch.
        drains: Number of VMs that drain and leave the pool.
        rounds: Number of rounds in which they can drain within the budget;
            None if the budget permits no drain.
    """

    __slots__ = (
        "service",
        "workers_before",
        "workers_after",
        "capacity_before",
        "capacity_after",
        "allowed_before",
        "allowed_after",
        "drains",
        "rounds",
    )

    def __init__(self, service):
        self.service = service
        for name in self.__slots__[1:]:
            setattr(self, name, 0)

    def to_document(self):
        """Returns the effect as JSON data."""
        return {name: getattr(self, name) for name in self.__slots__}

    def __str__(self):
        text = (
            f"{self.service}: workers {self.workers_before} -> "
            f"{self.workers_after}, promised {self.capacity_before} -> "
            f"{self.capacity_after}, may be unavailable "
            f"{self.allowed_before} -> {self.allowed_after}"
        )
        if self.rounds is None:
            return f"{text}; {self.drains} drains wait for budget"
        if self.drains:
            text += f"; {self.drains} drains in {self.rounds} rounds"
        return text


class Preview:
    """Result of applying a patch to a copy of the fleet.

    Attributes:
        version: Version that the patch would create.
        changes: Changes of records and fleet-wide values.
        moves: Move of each VM that changes pools or leaves the fleet.
        drains: Ids of the VMs that drain.
        budgets: BudgetEffect of each affected service.
    """

    __slots__ = ("version", "changes", "moves", "drains", "budgets")

    def __init__(self, version, changes, moves, drains, budgets):
        self.version = version
        self.changes = changes
        self.moves = moves
        self.drains = drains
        self.budgets = budgets

    def to_document(self):
        """Returns the preview as JSON data."""
        return {
            "version": self.version,
            "changes": [change.to_document() for change in self.changes],
            "moves": [move.to_document() for move in self.moves],
            "drains": list(self.drains),
            "budgets": [effect.to_document() for effect in self.budgets],
        }

    def lines(self):
        """Returns the preview as text lines."""
        parts = (
            ("changes", self.changes),
            ("moves", self.moves),
            ("drains", self.drains),
            ("budgets", self.budgets),
        )
        lines = [f"the patch would create version {self.version}"]
        for title, items in parts:
            lines.append(f"{title}: {len(items)}")
            lines.extend(f"  {item}" for item in items)
        return lines


def preview(fleet, patch, find_version=None) -> Result:
    """Applies a patch to a copy of the fleet.

    Args:
        fleet: The current version; it is not changed.
        patch: Patch.
        find_version: Function from a version number to its Fleet, or None;
            the operation ``restore`` needs it.

    Returns:
        The Preview, or Findings if the patch does not apply.
    """
    applied = patch.apply(fleet, find_version)
    if applied.is_error():
        return Error(applied.error)
    new = applied.ok
    moves = list_moves(fleet, new)
    drains = [move.worker for move in moves if move.source is not None]
    budgets = list_budget_effects(fleet, new, moves)
    return Ok(Preview(new.version, diff(fleet, new), moves, drains, budgets))


def list_moves(old, new):
    """Returns a Move for each VM that changes pools or is removed."""
    moves = []
    for id in sorted(old.workers):
        after = new.workers.get(id)
        source, target = old.workers[id].pool, after and after.pool
        if source != target:
            moves.append(Move(id, source, target))
    return moves


def list_budget_effects(old, new, moves):
    """Returns a BudgetEffect for each service that is affected."""
    effects = []
    for id in sorted(old.services.keys() | new.services.keys()):
        effect = BudgetEffect(id)
        before, after = old.services.get(id), new.services.get(id)
        if before is not None:
            count = len(old.workers_of(before.pool))
            effect.workers_before = count
            effect.capacity_before = before.capacity_workers
            effect.allowed_before = before.allowed_unavailable(count)
            leaving = [m for m in moves if m.source == before.pool]
            effect.drains = len(leaving)
        if after is not None:
            count = len(new.workers_of(after.pool))
            effect.workers_after = count
            effect.capacity_after = after.capacity_workers
            effect.allowed_after = after.allowed_unavailable(count)
        effect.rounds = _count_rounds(effect.drains, effect.allowed_before)
        if _is_affected(effect):
            effects.append(effect)
    return effects


def _count_rounds(drains, allowed):
    if drains == 0:
        return 0
    return None if allowed == 0 else -(-drains // allowed)


def _is_affected(effect):
    pairs = ("workers", "capacity", "allowed")
    return effect.drains > 0 or any(
        getattr(effect, f"{name}_before") != getattr(effect, f"{name}_after")
        for name in pairs
    )
