"""State of the platform stand-in: VMs, tasks under leases, and reports.

Only three things take time: the lag until a report is visible, a drain and
a reboot. Their times are fixed; work is not simulated.
"""

from collections import deque

from wigeonport.registries import Registry

commands = Registry("platform command")

MAX_REPORTS = 100_000
READY, DRAINING, DRAINED = "ready", "draining", "drained"
REBOOTING, FAILED = "rebooting", "failed"


class Vm:
    """State of one VM.

    Attributes:
        name: Name of the VM.
        state: READY, DRAINING, DRAINED, REBOOTING or FAILED.
        due_ms: Wall-clock time at which a drain or a reboot ends, or None.
        fault: ``none``, ``refuse``, ``fail`` or ``down``.
    """

    __slots__ = ("name", "state", "due_ms", "fault")

    def __init__(self, name):
        self.name = name
        self.state = READY
        self.due_ms = None
        self.fault = "none"


class Task:
    """One attempt of a job on a VM; its lease ends at ``until_ms``."""

    __slots__ = ("job", "vm", "attempt", "until_ms", "cores", "memory_mb")

    def __init__(self, job, vm, attempt, until_ms, cores, memory_mb):
        self.job = job
        self.vm = vm
        self.attempt = attempt
        self.until_ms = until_ms
        self.cores = cores
        self.memory_mb = memory_mb


class Platform:
    """State of the platform; one task owns it.

    Attributes:
        options: Options of the command line.
        vms: Maps the name of a VM to its Vm.
        zones: Maps the name of a VM to its availability zone.
        tasks: Maps the id of a job to its Task.
        term: Highest term of a command so far.
        seen_command_ids: Ids of the commands accepted in that term.
        reports: Reports in order, each with its ``visible_ms``.
        sequence: Sequence of the last report.
    """

    __slots__ = (
        "options",
        "vms",
        "zones",
        "tasks",
        "term",
        "seen_command_ids",
        "reports",
        "sequence",
    )

    def __init__(self, options):
        self.options = options
        vm_parts = [text.partition("@") for text in options.vms]
        self.vms = {name: Vm(name) for name, _, _ in vm_parts}
        self.zones = {name: zone for name, _, zone in vm_parts}
        self.tasks = {}
        self.term = 0
        self.seen_command_ids = set()
        self.reports = deque(maxlen=MAX_REPORTS)
        self.sequence = 0

    def report(self, kind, now_ms, **fields):
        """Adds a report that becomes visible after ``lag_ms``."""
        self.sequence += 1
        document = {
            "sequence": self.sequence,
            "kind": kind,
            "measured_ms": now_ms,
            "visible_ms": now_ms + self.options.lag_ms,
            **fields,
        }
        self.reports.append(document)

    def set_vm_state(self, vm, state, now_ms, due_ms=None):
        """Sets the state of a VM and reports it."""
        vm.state = state
        vm.due_ms = due_ms
        self.report("vm", now_ms, vm=vm.name, state=state)

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
            if vm.state == DRAINING and not self.tasks_of(vm.name):
                self.set_vm_state(vm, DRAINED, now_ms)
            elif vm.state == REBOOTING:
                self.set_vm_state(vm, READY, now_ms)

    def report_zones(self, now_ms):
        """Reports the failed VMs of each zone as missing."""
        missing = {zone: [] for zone in self.zones.values()}
        for vm in self.vms.values():
            if vm.state == FAILED:
                missing[self.zones[vm.name]].append(vm.name)
        for zone, names in missing.items():
            self.report("zone", now_ms, zone=zone, missing=names)

    def report_usage(self, now_ms):
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
        """Executes a command; returns the HTTP status and the answer.

        A command with an older term is refused, and a repeated command id has
        no effect.
        """
        handler = commands.get(document.get("kind"))
        term, command_id = document.get("term"), document.get("command_id")
        if handler.is_error() or type(term) is not int or not command_id:
            return 400, {"result": "refused", "reason": "malformed command"}
        if term < self.term:
            return 409, {"result": "stale term", "term": self.term}
        if term > self.term:
            self.term, self.seen_command_ids = term, set()
        if command_id in self.seen_command_ids:
            return 200, {"result": "repeated"}
        try:
            reason = handler.ok(self, document, now_ms)
        except (KeyError, TypeError) as error:
            reason = f"missing or invalid field: {error}"
        if reason is not None:
            return 422, {"result": "refused", "reason": reason}
        self.seen_command_ids.add(command_id)
        return 200, {"result": "accepted"}

    def find_available_vm(self, name):
        """Returns the Vm if it accepts commands, otherwise the refusal."""
        vm = self.vms.get(name)
        if vm is None:
            return f"VM {name!r} is not known"
        if vm.fault == "refuse" or vm.state == FAILED:
            return f"VM {name!r} does not accept commands"
        return vm


@commands.register("drain_vm")
def drain_vm(platform, document, now_ms):
    """Drains a VM; the drain ends after ``drain_ms`` and its last task."""
    vm = platform.find_available_vm(document["vm"])
    if isinstance(vm, str):
        return vm
    if vm.state in (DRAINING, DRAINED):
        return None
    if vm.state != READY:
        return f"VM is {vm.state}, not ready"
    due_ms = now_ms + platform.options.drain_ms
    platform.set_vm_state(vm, DRAINING, now_ms, due_ms)
    return None


@commands.register("undrain_vm")
def undrain_vm(platform, document, now_ms):
    """Makes a draining or drained VM ready again."""
    vm = platform.find_available_vm(document["vm"])
    if isinstance(vm, str):
        return vm
    if vm.state not in (DRAINING, DRAINED, READY):
        return f"VM is {vm.state}, not draining or drained"
    if vm.state != READY:
        platform.set_vm_state(vm, READY, now_ms)
    return None


@commands.register("reboot_vm")
def reboot_vm(platform, document, now_ms):
    """Reboots a drained VM."""
    vm = platform.find_available_vm(document["vm"])
    if isinstance(vm, str):
        return vm
    if vm.state != DRAINED:
        return f"VM is {vm.state}, not drained"
    due_ms = now_ms + platform.options.reboot_ms
    platform.set_vm_state(vm, REBOOTING, now_ms, due_ms)
    return None


@commands.register("prepare_vm")
def prepare_vm(platform, document, now_ms):
    """Prepares a drained VM for another pool, which takes no time."""
    vm = platform.find_available_vm(document["vm"])
    if isinstance(vm, str):
        return vm
    if vm.state != DRAINED:
        return f"VM is {vm.state}, not drained"
    platform.set_vm_state(vm, READY, now_ms)
    return None


@commands.register("start_task")
def start_task(platform, document, now_ms):
    """Starts an attempt of a job on a ready VM, under a lease."""
    vm = platform.find_available_vm(document["vm"])
    if isinstance(vm, str):
        return vm
    if vm.state != READY:
        return f"VM is {vm.state}, not ready"
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
    """Renews the leases of the listed tasks.

    Reports a task as stopped if this attempt of its job is not running.
    """
    names = ("jobs", "vms", "attempts")
    leases = zip(*(document[name] for name in names), strict=True)
    for job, vm, attempt in leases:
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


def register_task_end(kind, state):
    """Registers a command that ends a task and reports it in a state."""

    def end(platform, document, now_ms):
        task = platform.tasks.get(document["job"])
        if task is None or task.attempt != document["attempt"]:
            return "the task is not running"
        platform.end_task(task, state, now_ms)
        return None

    commands.register(kind)(end)


register_task_end("checkpoint_task", "checkpointed")
register_task_end("stop_task", "stopped")


@commands.register("throttle_task")
def throttle_task(platform, document, now_ms):
    """Reduces the processors of a task to a share of them."""
    task = platform.tasks.get(document["job"])
    if task is None:
        return "the task is not running"
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
    """Stops the tasks of the listed jobs."""
    for job in document["jobs"]:
        if job in platform.tasks:
            platform.end_task(platform.tasks[job], "stopped", now_ms)
