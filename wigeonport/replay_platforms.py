"""Simulation of the replicated log and the platform for replays.

It answers the planner's commands after fixed delays, which the header of the
trace gives. From the trace it knows the actual usage of jobs and the faults
to inject.
"""

import heapq

from wigeonport.command_ledgers import REPEATED, STALE_TERM, TermFence
from wigeonport.plan_commands import LOG
from wigeonport.plan_events import (
    CommandConfirmed,
    CommandRefused,
    FleetLoaded,
    JobSubmitted,
    LeadershipChanged,
    VmReported,
)
from wigeonport.registries import Registry
from wigeonport.trace_kinds import ActualJob, FaultsChanged
from wigeonport.views import DRAINED, FAILED, READY, REBOOTING

# Sequence numbers reserved for each millisecond.
SEQUENCES_PER_MS = 1_000

command_handlers = Registry("command handler of the simulated platform")
observers = Registry("event observer of the simulated platform")


class SimulatedPlatform:
    """Simulated log and platform that answer commands after fixed delays.

    Attributes:
        delays_ms: Maps kind of delay to the delay in ms.
        pending_answers: Heap of (time in ms, entry number, guard, event).
        entry_count: Number of entries scheduled so far. As entry number it
            keeps answers of the same time in the order of scheduling.
        fence: TermFence of the platform.
        fleet: FleetView last loaded, for the sizes of the VMs.
        failed_vms: Names of the VMs that have failed and not recovered.
        drain_end_ms: Maps name of a draining VM to the earliest end of the
            drain.
        tasks: Maps job id to its Task.
        actual_jobs: Maps job id to its ActualJob.
        submitted_jobs: Maps job id to its JobSubmitted.
        faults: FaultsChanged in force.
    """

    __slots__ = (
        "delays_ms",
        "pending_answers",
        "entry_count",
        "fence",
        "fleet",
        "failed_vms",
        "drain_end_ms",
        "tasks",
        "actual_jobs",
        "submitted_jobs",
        "faults",
    )

    def __init__(self, delays_ms):
        self.delays_ms = delays_ms
        self.pending_answers = []
        self.entry_count = 0
        self.fence = TermFence()
        self.fleet = None
        self.failed_vms = set()
        self.drain_end_ms = {}
        self.tasks = {}
        self.actual_jobs = {}
        self.submitted_jobs = {}
        self.faults = FaultsChanged()

    def observe(self, event, now_ms):
        """Passes an event of the trace to its registered observer, if any."""
        observer = observers.entries.get(type(event))
        if observer is not None:
            observer(self, event, now_ms)

    def send(self, command, now_ms):
        """Accepts or refuses a command and schedules the answers to it.

        A repeated command is confirmed again but not executed again.
        """
        verdict = self.fence.admit(command.term, command.command_id)
        delay = "commit_ms" if command.target == LOG else "accept_ms"
        at_ms = now_ms + self.delays_ms[delay]
        if verdict == STALE_TERM:
            refused = CommandRefused(command.command_id, STALE_TERM)
            self.schedule(at_ms, refused)
            return
        self.schedule(at_ms, CommandConfirmed(command.command_id))
        handler = command_handlers.entries.get(command.kind)
        if verdict != REPEATED and handler is not None:
            handler(self, command, at_ms)

    def schedule(self, at_ms, event, guard=None):
        """Schedules an event.

        It is dropped if ``guard``, called with the time, is false then.
        """
        self.entry_count += 1
        entry = (at_ms, self.entry_count, guard, event)
        heapq.heappush(self.pending_answers, entry)

    def next_answer_ms(self):
        """Returns the time of the next pending answer, or None."""
        return self.pending_answers[0][0] if self.pending_answers else None

    def pop_answer(self):
        """Removes and returns the next answer; None if its guard drops it."""
        at_ms, _, guard, event = heapq.heappop(self.pending_answers)
        if guard is not None and not guard(at_ms):
            return None
        return event

    def report_vm(self, vm, state, at_ms, guard=None):
        """Schedules a VM report, dropped if the VM has failed by then."""
        sequence = (
            at_ms * SEQUENCES_PER_MS + self.entry_count % SEQUENCES_PER_MS
        )
        report = VmReported(vm, state, sequence)

        def is_valid(time_ms):
            return vm not in self.failed_vms and (guard is None or guard())

        self.schedule(at_ms, report, is_valid)


@observers.register(FleetLoaded)
def observe_fleet(platform, event, now_ms):
    """Replaces the fleet."""
    platform.fleet = event.fleet


@observers.register(LeadershipChanged)
def observe_leadership(platform, event, now_ms):
    """Raises the fence to a newer term.

    The platform would learn that term from another leader's commands.
    """
    if event.term > platform.fence.term:
        platform.fence.term = event.term
        platform.fence.seen_ids = set()


@observers.register(VmReported)
def observe_vm(platform, event, now_ms):
    """Records that a VM has failed, with its tasks, or has recovered."""
    if event.state == FAILED:
        platform.failed_vms.add(event.vm)
        platform.drain_end_ms.pop(event.vm, None)
        for job in [j for j, t in platform.tasks.items() if t.vm == event.vm]:
            del platform.tasks[job]
    else:
        platform.failed_vms.discard(event.vm)


@observers.register(JobSubmitted)
def observe_job(platform, event, now_ms):
    """Records a job; what it declares applies if it has no ActualJob."""
    platform.submitted_jobs[event.job] = event


@observers.register(ActualJob)
def observe_actual(platform, event, now_ms):
    """Records the actual usage of a job."""
    platform.actual_jobs[event.job] = event


@observers.register(FaultsChanged)
def observe_faults(platform, event, now_ms):
    """Replaces the injected faults."""
    platform.faults = event


@command_handlers.register("drain_vm")
def handle_drain(platform, command, at_ms):
    """Reports a VM as drained after the delay, once its tasks have ended."""
    drained_ms = at_ms + platform.delays_ms["drain_ms"]
    platform.drain_end_ms[command.vm] = drained_ms
    report_drained_if_idle(platform, command.vm, at_ms)


def report_drained_if_idle(platform, vm, now_ms):
    """Schedules the drained report of a draining VM without tasks."""
    if vm not in platform.drain_end_ms:
        return
    if any(task.vm == vm for task in platform.tasks.values()):
        return
    drained_ms = max(platform.drain_end_ms[vm], now_ms)
    platform.report_vm(
        vm, DRAINED, drained_ms, lambda: vm in platform.drain_end_ms
    )


@command_handlers.register("undrain_vm")
def handle_undrain(platform, command, at_ms):
    """Ends the drain of a VM and reports it as ready."""
    platform.drain_end_ms.pop(command.vm, None)
    ready_ms = at_ms + platform.delays_ms["undrain_ms"]
    platform.report_vm(command.vm, READY, ready_ms)


@command_handlers.register("reboot_vm")
def handle_reboot(platform, command, at_ms):
    """Reports a VM as rebooting and later as ready, unless it is stuck."""
    platform.drain_end_ms.pop(command.vm, None)
    platform.report_vm(command.vm, REBOOTING, at_ms)
    if command.vm not in platform.faults.stuck_reboots:
        ready_ms = at_ms + platform.delays_ms["reboot_ms"]
        platform.report_vm(command.vm, READY, ready_ms)


@command_handlers.register("prepare_vm")
def handle_prepare(platform, command, at_ms):
    """Reports a VM as ready in its new pool after the preparation."""
    platform.drain_end_ms.pop(command.vm, None)
    ready_ms = at_ms + platform.delays_ms["prepare_ms"]
    platform.report_vm(command.vm, READY, ready_ms)
