"""Measures of a replay: buffer cost, roll-out time, moves and others."""

import math

from wigeonport.availabilities import count_available
from wigeonport.plan_commands import PrepareVm, RequestVmGrant, StartTask
from wigeonport.plan_events import (
    FINISHED,
    DemandReported,
    FleetLoaded,
    JobSubmitted,
    TaskReported,
)
from wigeonport.waves import zones_in_maintenance


class Measures:
    """Sums over a replay.

    Attributes:
        moves: Moves of VMs between pools.
        buffer_vm_s: VM-seconds held idle: the reserve, and the borrowed VMs
            that their pool does not need.
        shortage_vm_s: VM-seconds by which pools were short of their demand.
        rollout_ms: Longest time from a version until all VMs are placed.
        move_ms: Longest time from the request of a move until the VM serves
            in its new pool.
        maintained: VMs maintained.
        mixed_zones_ms: Time with maintenance in more than one zone.
        lowest_available: Fewest available VMs by pool.
        below_guarantee_ms: Time below the guarantee by pool.
        urgent_start_ms: Longest time from the submission of an urgent job
            to its start command.
        wait_s: Time that all jobs together waited for their first start.
        finished_jobs: Number of jobs finished.
        failed_tasks: Number of tasks failed.
        commands: Number of commands by kind.
        at_ms: Time of the last update.
        version_ms: Time of the last version that is not rolled out, or None.
        urgent_ms: Time of submission by urgent job that has not started.
        waiting_ms: Time of submission by job that has not started.
        moving_ms: Time of the request by VM that is being moved.
        demand: Slots last reported by service, not forecast.
    """

    __slots__ = (
        "moves",
        "buffer_vm_s",
        "shortage_vm_s",
        "rollout_ms",
        "move_ms",
        "maintained",
        "mixed_zones_ms",
        "lowest_available",
        "below_guarantee_ms",
        "urgent_start_ms",
        "wait_s",
        "finished_jobs",
        "failed_tasks",
        "commands",
        "at_ms",
        "version_ms",
        "urgent_ms",
        "waiting_ms",
        "moving_ms",
        "demand",
    )

    def __init__(self):
        self.moves = 0
        self.buffer_vm_s = 0.0
        self.shortage_vm_s = 0.0
        self.rollout_ms = 0
        self.move_ms = 0
        self.maintained = 0
        self.mixed_zones_ms = 0
        self.lowest_available = {}
        self.below_guarantee_ms = {}
        self.urgent_start_ms = 0
        self.wait_s = 0.0
        self.finished_jobs = 0
        self.failed_tasks = 0
        self.commands = {}
        self.at_ms = None
        self.version_ms = None
        self.urgent_ms = {}
        self.waiting_ms = {}
        self.moving_ms = {}
        self.demand = {}

    def pass_time(self, view, now_ms):
        """Adds the time since the last update to the sums."""
        elapsed_ms = now_ms - (now_ms if self.at_ms is None else self.at_ms)
        self.at_ms = now_ms
        if elapsed_ms == 0:
            return
        elapsed_s = elapsed_ms / 1000
        if len(zones_in_maintenance(view)) > 1:
            self.mixed_zones_ms += elapsed_ms
        reserve = view.reserve
        if reserve is not None:
            self.buffer_vm_s += min(reserve.needed, reserve.held) * elapsed_s
        for pool in view.fleet.pools.values():
            self.measure_pool(view, pool, elapsed_ms, now_ms)

    def measure_pool(self, view, pool, elapsed_ms, now_ms):
        """Adds the time of one pool."""
        available = count_available(view, pool.name, now_ms)
        if available < pool.guaranteed():
            below_ms = self.below_guarantee_ms.get(pool.name, 0)
            self.below_guarantee_ms[pool.name] = below_ms + elapsed_ms
        if pool.spare:
            return
        needed = sum(
            math.ceil(self.demand.get(service.name, 0) / service.slots_per_vm)
            for service in pool.services
        )
        shortage = max(needed - available, 0)
        self.shortage_vm_s += shortage * elapsed_ms / 1000
        borrowed = sum(vm.borrowed for vm in view.fleet.members(pool.name))
        floor = max(needed, pool.guaranteed())
        idle = min(borrowed, max(available - floor, 0))
        self.buffer_vm_s += idle * elapsed_ms / 1000

    def note_event(self, event, now_ms):
        """Counts an event that the planner applies."""
        if isinstance(event, FleetLoaded) and self.version_ms is None:
            self.version_ms = now_ms
        elif isinstance(event, JobSubmitted):
            self.waiting_ms[event.job] = now_ms
            if event.urgent:
                self.urgent_ms[event.job] = now_ms
        elif isinstance(event, DemandReported):
            self.demand[event.service] = event.slots
        elif isinstance(event, TaskReported):
            self.finished_jobs += event.state == FINISHED
            self.failed_tasks += event.state == "failed"

    def note_commands(self, view, commands, now_ms):
        """Counts commands and updates what the view shows after them."""
        for command in commands:
            count = self.commands.get(command.kind, 0)
            self.commands[command.kind] = count + 1
            if isinstance(command, StartTask):
                self.note_start(command.job, now_ms)
            elif isinstance(command, PrepareVm):
                self.moves += 1
            elif isinstance(command, RequestVmGrant) and command.destination:
                self.moving_ms.setdefault(command.vm, now_ms)
        self.maintained = view.wave.completed
        self.note_moves(view, now_ms)
        self.note_rollout(view, now_ms)
        if view.reserve is not None:
            self.note_available(view, now_ms)

    def note_available(self, view, now_ms):
        """Records the fewest available VMs since the first full plan."""
        for pool in view.fleet.pools:
            available = count_available(view, pool, now_ms)
            lowest = self.lowest_available.get(pool, available)
            self.lowest_available[pool] = min(lowest, available)

    def note_start(self, job, now_ms):
        """Records how long a job has waited."""
        submitted_ms = self.waiting_ms.pop(job, now_ms)
        self.wait_s += (now_ms - submitted_ms) / 1000
        if job in self.urgent_ms:
            waited_ms = now_ms - self.urgent_ms.pop(job)
            self.urgent_start_ms = max(self.urgent_start_ms, waited_ms)

    def note_moves(self, view, now_ms):
        """Records how long moves took that have ended."""
        ended = [vm for vm in self.moving_ms if vm not in view.operations]
        for vm in ended:
            moved_ms = now_ms - self.moving_ms.pop(vm)
            self.move_ms = max(self.move_ms, moved_ms)

    def note_rollout(self, view, now_ms):
        """Records the end of a roll-out."""
        if self.version_ms is None:
            return
        placed = all(vm.pool == vm.home_pool for vm in view.fleet.vms.values())
        if placed:
            rollout_ms = now_ms - self.version_ms
            self.rollout_ms = max(self.rollout_ms, rollout_ms)
            self.version_ms = None

    def to_document(self):
        """Returns the measures as plain data."""
        hidden = (
            "at_ms",
            "version_ms",
            "urgent_ms",
            "waiting_ms",
            "moving_ms",
            "demand",
        )
        document = {
            name: getattr(self, name)
            for name in self.__slots__
            if name not in hidden
        }
        document["unstarted_urgent"] = sorted(self.urgent_ms)
        return document
