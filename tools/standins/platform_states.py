"""State of the platform stand-in: VMs, tasks under leases, and reports.

It is no simulator: apart from the lag of the reports and the fixed times of
a drain and a reboot, nothing takes time.
"""

from collections import deque

from wigeonport.registries import Registry

commands = Registry("platform command")

MAX_REPORTS = 100_000
READY, DRAINING, DRAINED = "ready", "draining", "drained"
REBOOTING, FAILED = "rebooting", "failed"


class Vm:
    """State of one VM; ``due_ms`` ends a drain or a reboot."""

    __slots__ = ("vm", "state", "due_ms", "fault")

    def __init__(self, vm):
        self.vm = vm
        self.state = READY
        self.due_ms = None
        self.fault = "none"


class Task:
    """One attempt of a job under a lease."""

    __slots__ = ("job", "vm", "attempt", "until_ms", "cores", "memory_mb")

    def __init__(self, job, vm, attempt, until_ms, cores, memory_mb):
        self.job = job
        self.vm = vm
        self.attempt = attempt
        self.until_ms = until_ms
        self.cores = cores
        self.memory_mb = memory_mb


class Platform:
    """State of the platform; owned by one task.

    Attributes:
        options: Options of the command line.
        vms: Vm by name.
        zones: Availability zone by name of the VM.
        tasks: Task by job.
        term: Newest term seen.
        seen: Command ids of that term.
        reports: Reports in order, each with ``visible_ms``.
        sequence: Sequence of the last report.
    """

    __slots__ = (
        "options",
        "vms",
        "zones",
        "tasks",
        "term",
        "seen",
        "reports",
        "sequence",
    )

    def __init__(self, options):
        self.options = options
        placed = [text.partition("@") for text in options.vms]
        self.vms = {name: Vm(name) for name, _, _ in placed}
        self.zones = {name: zone for name, _, zone in placed}
        self.tasks = {}
        self.term = 0
        self.seen = set()
        self.reports = deque(maxlen=MAX_REPORTS)
        self.sequence = 0

    def report(self, kind, now_ms, **fields):
        """Adds a report that becomes visible after the lag."""
        self.sequence += 1
        document = {
            "sequence": self.sequence,
            "kind": kind,
            "measured_ms": now_ms,
            "visible_ms": now_ms + self.options.lag_ms,
            **fields,
        }
        self.reports.append(document)

    def change(self, vm, state, now_ms, due_ms=None):
        """Moves a VM to a state and reports it."""
        vm.state = state
        vm.due_ms = due_ms
        self.report("vm", now_ms, vm=vm.vm, state=state)

    def end_task(self, task, state, now_ms):
        """Removes a task and reports how it ended."""
        del self.tasks[task.job]
        self.report(
            "task",
            now_ms,
            job=task.job,
            vm=task.vm,
            attempt=task.attempt,
            state=state,
        )

    def tasks_of(self, vm):
        """Returns the tasks on a VM."""
        return [task for task in self.tasks.values() if task.vm == vm]

    def tick(self, now_ms):
        """Ends drains, reboots and leases that are due."""
        for task in list(self.tasks.values()):
            if now_ms >= task.until_ms:
                self.end_task(task, "stopped", now_ms)
        for vm in self.vms.values():
            if vm.due_ms is None or now_ms < vm.due_ms:
                continue
            if vm.state == DRAINING and not self.tasks_of(vm.vm):
                self.change(vm, DRAINED, now_ms)
            elif vm.state == REBOOTING:
                self.change(vm, READY, now_ms)

    def report_zones(self, now_ms):
        """Reports for each zone which of its VMs do not answer."""
        missing = {zone: [] for zone in self.zones.values()}
        for vm in self.vms.values():
            if vm.state == FAILED:
                missing[self.zones[vm.vm]].append(vm.vm)
        for zone, names in missing.items():
            self.report("zone", now_ms, zone=zone, missing=names)

    def measure(self, now_ms):
        """Reports the usage of every task."""
        for task in self.tasks.values():
            self.report(
                "usage",
                now_ms,
                job=task.job,
                vm=task.vm,
                cores=task.cores,
                memory_mb=task.memory_mb,
            )

    def execute(self, document, now_ms):
        """Returns the HTTP status and the answer to a command."""
        kind = commands.get(document.get("kind"))
        term, command_id = document.get("term"), document.get("command_id")
        if kind.is_error() or type(term) is not int or not command_id:
            return 400, {"result": "refused", "reason": "malformed command"}
        if term < self.term:
            return 409, {"result": "stale term", "term": self.term}
        if term > self.term:
            self.term, self.seen = term, set()
        if command_id in self.seen:
            return 200, {"result": "repeated"}
        try:
            reason = kind.ok(self, document, now_ms)
        except (KeyError, TypeError) as fault:
            reason = f"bad field: {fault}"
        if reason is not None:
            return 422, {"result": "refused", "reason": reason}
        self.seen.add(command_id)
        return 200, {"result": "accepted"}

    def find(self, name):
        """Returns a VM that takes commands, or the text of a refusal."""
        vm = self.vms.get(name)
        if vm is None:
            return f"VM {name!r} is not known"
        if vm.fault == "refuse" or vm.state == FAILED:
            return f"VM {name!r} does not take commands"
        return vm


@commands.register("drain_vm")
def drain_vm(platform, document, now_ms):
    """Stops new work on a VM; it is drained when its tasks ended."""
    vm = platform.find(document["vm"])
    if isinstance(vm, str):
        return vm
    if vm.state in (DRAINING, DRAINED):
        return None
    if vm.state != READY:
        return f"VM is {vm.state}"
    due_ms = now_ms + platform.options.drain_ms
    platform.change(vm, DRAINING, now_ms, due_ms)
    return None


@commands.register("undrain_vm")
def undrain_vm(platform, document, now_ms):
    """Returns a draining or drained VM to work."""
    vm = platform.find(document["vm"])
    if isinstance(vm, str):
        return vm
    if vm.state not in (DRAINING, DRAINED, READY):
        return f"VM is {vm.state}"
    if vm.state != READY:
        platform.change(vm, READY, now_ms)
    return None


@commands.register("reboot_vm")
def reboot_vm(platform, document, now_ms):
    """Reboots a drained VM."""
    vm = platform.find(document["vm"])
    if isinstance(vm, str):
        return vm
    if vm.state != DRAINED:
        return f"VM is {vm.state}, not drained"
    due_ms = now_ms + platform.options.reboot_ms
    platform.change(vm, REBOOTING, now_ms, due_ms)
    return None


@commands.register("prepare_vm")
def prepare_vm(platform, document, now_ms):
    """Prepares a drained VM for its new pool."""
    vm = platform.find(document["vm"])
    if isinstance(vm, str):
        return vm
    if vm.state != DRAINED:
        return f"VM is {vm.state}, not drained"
    platform.change(vm, READY, now_ms)
    return None


@commands.register("start_task")
def start_task(platform, document, now_ms):
    """Starts an attempt of a job under a lease."""
    vm = platform.find(document["vm"])
    if isinstance(vm, str):
        return vm
    if vm.state != READY:
        return f"VM is {vm.state}"
    task = Task(*(document[name] for name in Task.__slots__))
    platform.tasks[task.job] = task
    platform.report(
        "task",
        now_ms,
        job=task.job,
        vm=task.vm,
        attempt=task.attempt,
        state="failed" if vm.fault == "fail" else "running",
    )
    if vm.fault == "fail":
        del platform.tasks[task.job]
    return None


@commands.register("renew_tasks")
def renew_tasks(platform, document, now_ms):
    """Extends the leases of the listed tasks, reports others as stopped."""
    names = ("jobs", "vms", "attempts")
    renewed = zip(*(document[name] for name in names), strict=True)
    for job, vm, attempt in renewed:
        task = platform.tasks.get(job)
        if task is not None and task.attempt == attempt:
            task.until_ms = document["until_ms"]
        else:
            platform.report(
                "task",
                now_ms,
                job=job,
                vm=vm,
                attempt=attempt,
                state="stopped",
            )


def register_end(kind, state):
    """Registers a command that ends one task."""

    def end(platform, document, now_ms):
        task = platform.tasks.get(document["job"])
        if task is None or task.attempt != document["attempt"]:
            return "the task does not run"
        platform.end_task(task, state, now_ms)
        return None

    commands.register(kind)(end)


register_end("checkpoint_task", "checkpointed")
register_end("stop_task", "stopped")


@commands.register("throttle_task")
def throttle_task(platform, document, now_ms):
    """Limits a task to a share of its processors."""
    task = platform.tasks.get(document["job"])
    if task is None:
        return "the task does not run"
    task.cores *= document["share"]
    platform.report(
        "task",
        now_ms,
        job=task.job,
        vm=task.vm,
        attempt=task.attempt,
        state="throttled",
    )
    return None


@commands.register("cancel_jobs")
def cancel_jobs(platform, document, now_ms):
    """Ends the tasks of all listed jobs."""
    for job in document["jobs"]:
        if job in platform.tasks:
            platform.end_task(platform.tasks[job], "stopped", now_ms)
