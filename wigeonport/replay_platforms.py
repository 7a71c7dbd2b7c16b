"""Stand-in of the log and the platform for replay.

It answers the planner's commands after the fixed delays of the trace's
header. It knows what jobs really use and which parts are faulty.
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

# Sequence numbers of one millisecond.
SEQUENCES_PER_MS = 1_000

answers = Registry("answer of the stand-in")
observers = Registry("observer of the stand-in")


class AnswerPlatform:
    """Answers commands after fixed delays.

    Attributes:
        delays: Delay by answer in ms.
        due: Heap of (time, number, guard, event).
        number: Number of the last entry, to keep the order of equals.
        fence: TermFence of the platform.
        fleet: FleetView last loaded, for the sizes of the VMs.
        down: VMs that have failed.
        draining: Earliest end of the drain by VM.
        tasks: Task by job.
        actual: ActualJob by job.
        submitted: JobSubmitted by job.
        faults: FaultsChanged in force.
    """

    __slots__ = (
        "delays",
        "due",
        "number",
        "fence",
        "fleet",
        "down",
        "draining",
        "tasks",
        "actual",
        "submitted",
        "faults",
    )

    def __init__(self, delays):
        self.delays = delays
        self.due = []
        self.number = 0
        self.fence = TermFence()
        self.fleet = None
        self.down = set()
        self.draining = {}
        self.tasks = {}
        self.actual = {}
        self.submitted = {}
        self.faults = FaultsChanged()

    def observe(self, event, now_ms):
        """Takes note of an event of the trace."""
        observe = observers.entries.get(type(event))
        if observe is not None:
            observe(self, event, now_ms)

    def send(self, command, now_ms):
        """Accepts or refuses a command and schedules its answers."""
        verdict = self.fence.admit(command.term, command.command_id)
        delay = "commit_ms" if command.target == LOG else "accept_ms"
        at_ms = now_ms + self.delays[delay]
        if verdict == STALE_TERM:
            refused = CommandRefused(command.command_id, STALE_TERM)
            self.schedule(at_ms, refused)
            return
        self.schedule(at_ms, CommandConfirmed(command.command_id))
        answer = answers.entries.get(command.kind)
        if verdict != REPEATED and answer is not None:
            answer(self, command, at_ms)

    def schedule(self, at_ms, event, guard=None):
        """Schedules an event; it is dropped if its guard is false then."""
        self.number += 1
        entry = (at_ms, self.number, guard, event)
        heapq.heappush(self.due, entry)

    def next_ms(self):
        """Returns the time of the next answer, or None."""
        return self.due[0][0] if self.due else None

    def take(self):
        """Returns the next answer, or None if it was dropped."""
        at_ms, _, guard, event = heapq.heappop(self.due)
        if guard is not None and not guard(at_ms):
            return None
        return event

    def report_vm(self, vm, state, at_ms, guard=None):
        """Schedules a report about a VM, dropped if it is down then."""
        sequence = at_ms * SEQUENCES_PER_MS + self.number % SEQUENCES_PER_MS
        report = VmReported(vm, state, sequence)

        def holds(time_ms):
            return vm not in self.down and (guard is None or guard())

        self.schedule(at_ms, report, holds)


@observers.register(FleetLoaded)
def observe_fleet(platform, event, now_ms):
    """Keeps the sizes of the VMs."""
    platform.fleet = event.fleet


@observers.register(LeadershipChanged)
def observe_leadership(platform, event, now_ms):
    """Learns a term, as the platform does from another leader."""
    if event.term > platform.fence.term:
        platform.fence.term = event.term
        platform.fence.seen_ids = set()


@observers.register(VmReported)
def observe_vm(platform, event, now_ms):
    """Keeps which VMs are down."""
    if event.state == FAILED:
        platform.down.add(event.vm)
        platform.draining.pop(event.vm, None)
        for job in [j for j, t in platform.tasks.items() if t.vm == event.vm]:
            del platform.tasks[job]
    else:
        platform.down.discard(event.vm)


@observers.register(JobSubmitted)
def observe_job(platform, event, now_ms):
    """Keeps what a job declared, for jobs without an actual size."""
    platform.submitted[event.job] = event


@observers.register(ActualJob)
def observe_actual(platform, event, now_ms):
    """Keeps what a job really uses."""
    platform.actual[event.job] = event


@observers.register(FaultsChanged)
def observe_faults(platform, event, now_ms):
    """Replaces the faults in force."""
    platform.faults = event


@answers.register("drain_vm")
def answer_drain(platform, command, at_ms):
    """Reports a VM as drained once its tasks have ended."""
    drained_ms = at_ms + platform.delays["drain_ms"]
    platform.draining[command.vm] = drained_ms
    report_if_empty(platform, command.vm, at_ms)


def report_if_empty(platform, vm, now_ms):
    """Schedules the end of a drain if no task runs on the VM."""
    if vm not in platform.draining:
        return
    if any(task.vm == vm for task in platform.tasks.values()):
        return
    drained_ms = max(platform.draining[vm], now_ms)
    platform.report_vm(
        vm, DRAINED, drained_ms, lambda: vm in platform.draining
    )


@answers.register("undrain_vm")
def answer_undrain(platform, command, at_ms):
    """Reports a VM as ready."""
    platform.draining.pop(command.vm, None)
    ready_ms = at_ms + platform.delays["undrain_ms"]
    platform.report_vm(command.vm, READY, ready_ms)


@answers.register("reboot_vm")
def answer_reboot(platform, command, at_ms):
    """Reports a VM as rebooting, then as ready."""
    platform.draining.pop(command.vm, None)
    platform.report_vm(command.vm, REBOOTING, at_ms)
    if command.vm not in platform.faults.stuck_reboots:
        ready_ms = at_ms + platform.delays["reboot_ms"]
        platform.report_vm(command.vm, READY, ready_ms)


@answers.register("prepare_vm")
def answer_prepare(platform, command, at_ms):
    """Reports a VM as ready after its preparation."""
    platform.draining.pop(command.vm, None)
    ready_ms = at_ms + platform.delays["prepare_ms"]
    platform.report_vm(command.vm, READY, ready_ms)
