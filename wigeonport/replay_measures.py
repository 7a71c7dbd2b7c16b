"""Measures of a replay, such as idle VM time, roll-out time and moves."""

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
    """Totals and extremes over a replay.

    Attributes:
        moves: Number of VMs moved between pools.
        buffer_vm_s: VM-seconds held idle: the reserve, and the borrowed VMs
            that their pool does not need.
        shortage_vm_s: VM-seconds by which pools were short of their demand.
        rollout_ms: Longest time from the arrival of a fleet version until
            every VM is in its home pool.
        move_ms: Longest time from the grant request for a move until the
            VM serves in its new pool.
        maintained: Number of VMs maintained so far.
        mixed_zones_ms: Time with maintenance in more than one zone.
        lowest_available: Maps pool to its lowest number of available VMs.
        below_guarantee_ms: Maps pool to the time for which it had fewer
            available VMs than guaranteed.
        urgent_start_ms: Longest time from the submission of an urgent job
            to its start command.
        wait_s: Sum of the times that jobs waited for their first start.
        finished_jobs: Number of jobs finished.
        failed_tasks: Number of tasks failed.
        commands: Maps kind of command to the number issued.
        at_ms: Time up to which the totals are complete, or None.
        version_ms: Arrival time of the version being rolled out, or None.
        urgent_ms: Maps urgent job that has not started to its submission
            time.
        waiting_ms: Maps job that has not started to its submission time.
        moving_ms: Maps VM that is being moved to the time of its grant
            request.
        demand: Maps service to the slots last reported, not forecast.
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

    def add_elapsed_time(self, view, now_ms):
        """Adds the time since the last update to the time-weighted totals."""
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
        """Adds the elapsed time to the totals of one pool.

        Spare pools count only towards ``below_guarantee_ms``.
        """
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
        required_vms = max(needed, pool.guaranteed())
        idle = min(borrowed, max(available - required_vms, 0))
        self.buffer_vm_s += idle * elapsed_ms / 1000

    def record_event(self, event, now_ms):
        """Updates the measures with an event that the planner will apply."""
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

    def record_commands(self, view, commands, now_ms):
        """Updates the measures with new commands and the resulting view."""
        for command in commands:
            count = self.commands.get(command.kind, 0)
            self.commands[command.kind] = count + 1
            if isinstance(command, StartTask):
                self.record_start(command.job, now_ms)
            elif isinstance(command, PrepareVm):
                self.moves += 1
            elif isinstance(command, RequestVmGrant) and command.destination:
                self.moving_ms.setdefault(command.vm, now_ms)
        self.maintained = view.wave.completed
        self.record_moves(view, now_ms)
        self.record_rollout(view, now_ms)
        if view.reserve is not None:
            self.record_lowest_available(view, now_ms)

    def record_lowest_available(self, view, now_ms):
        """Updates the lowest number of available VMs of each pool.

        Called from the first full plan on, that is, once a reserve exists.
        """
        for pool in view.fleet.pools:
            available = count_available(view, pool, now_ms)
            lowest = self.lowest_available.get(pool, available)
            self.lowest_available[pool] = min(lowest, available)

    def record_start(self, job, now_ms):
        """Adds the wait of a started job; a restart adds none."""
        submitted_ms = self.waiting_ms.pop(job, now_ms)
        self.wait_s += (now_ms - submitted_ms) / 1000
        if job in self.urgent_ms:
            waited_ms = now_ms - self.urgent_ms.pop(job)
            self.urgent_start_ms = max(self.urgent_start_ms, waited_ms)

    def record_moves(self, view, now_ms):
        """Updates the longest move with the moves that have ended."""
        completed_vms = [
            vm for vm in self.moving_ms if vm not in view.operations
        ]
        for vm in completed_vms:
            moved_ms = now_ms - self.moving_ms.pop(vm)
            self.move_ms = max(self.move_ms, moved_ms)

    def record_rollout(self, view, now_ms):
        """Ends the roll-out once every VM is in its home pool."""
        if self.version_ms is None:
            return
        all_placed = all(
            vm.pool == vm.home_pool for vm in view.fleet.vms.values()
        )
        if all_placed:
            rollout_ms = now_ms - self.version_ms
            self.rollout_ms = max(self.rollout_ms, rollout_ms)
            self.version_ms = None

    def to_document(self):
        """Returns the measures as JSON values, without the working state."""
        internal_names = (
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
            if name not in internal_names
        }
        document["unstarted_urgent"] = sorted(self.urgent_ms)
        return document
