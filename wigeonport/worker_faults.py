"""Finds workers that fail every task, without blaming the jobs."""

from wigeonport.plan_commands import QuarantineWorker, ReleaseWorker

MIN_POOL_SIZE_FOR_QUARANTINE = 3


class WorkerRecord:
    """Recent outcomes of the tasks of one worker.

    Attributes:
        failures_ms: Time of the last failure by job, since the last success.
        succeeded_ms: Time of the last success, or None.
        quarantined_ms: Start of the quarantine, or None.
    """

    __slots__ = ("failures_ms", "succeeded_ms", "quarantined_ms")

    def __init__(self):
        self.failures_ms = {}
        self.succeeded_ms = None
        self.quarantined_ms = None


class WorkerFaults:
    """Records of all workers that ran tasks.

    Attributes:
        records: WorkerRecord by VM.
    """

    __slots__ = ("records",)

    def __init__(self):
        self.records = {}

    def find_or_create(self, vm_name):
        """Returns the record of a worker; creates it if new."""
        return self.records.setdefault(vm_name, WorkerRecord())

    def record_success(self, vm_name, now_ms):
        """Records a finished task."""
        record = self.find_or_create(vm_name)
        record.succeeded_ms = now_ms
        record.failures_ms.clear()

    def record_failure(self, vm_name, job_name, now_ms):
        """Records a failed task."""
        self.find_or_create(vm_name).failures_ms[job_name] = now_ms

    def finishes_tasks(self, vm_name):
        """Returns whether a failure on this worker speaks against the job.

        Only a worker that finished a task, and failed at most this job
        since, is known to be sound.
        """
        record = self.find_or_create(vm_name)
        return record.succeeded_ms is not None and len(record.failures_ms) <= 1


def update_quarantines(view, now_ms):
    """Quarantines and releases workers of the pools in scope."""
    commands = []
    for pool in view.pools():
        for name in pool.members:
            if name not in view.faults.records:
                continue
            vm = view.fleet.vms[name]
            if vm.quarantined:
                commands.extend(release_after_quarantine(view, vm, now_ms))
            elif is_faulty(view, vm, now_ms) and may_quarantine(view, pool):
                commands.extend(quarantine(view, vm, now_ms))
    return commands


def is_faulty(view, vm, now_ms):
    """Returns whether a worker fails what other workers finish."""
    settings = view.settings
    start_ms = now_ms - settings.worker_failure_window_ms
    failures_ms = view.faults.find_or_create(vm.name).failures_ms
    recent = [
        name
        for name, failed_ms in failures_ms.items()
        if failed_ms >= start_ms
    ]
    if len(recent) < settings.worker_failed_jobs:
        return False
    others = [
        view.faults.records[name]
        for name in view.fleet.pools[vm.pool].members
        if name != vm.name and name in view.faults.records
    ]
    succeeded = sum(succeeded_since(record, start_ms) for record in others)
    # When most workers fail, the cause is not in this worker.
    return succeeded > 0 and 2 * succeeded >= len(others)


def succeeded_since(record, start_ms):
    """Returns whether a worker finished a task in the window."""
    return record.succeeded_ms is not None and record.succeeded_ms >= start_ms


def may_quarantine(view, pool):
    """Returns whether the floor allows one more quarantine in a pool."""
    count = sum(vm.quarantined for vm in view.fleet.members(pool.name))
    size = len(pool.members)
    allowed = int(size * view.settings.quarantine_share)
    if size >= MIN_POOL_SIZE_FOR_QUARANTINE:
        allowed = max(allowed, 1)
    return count < allowed


def quarantine(view, vm, now_ms):
    """Excludes a worker and takes its failures back from the jobs."""
    vm.quarantined = True
    view.forget_available(vm.name)
    record = view.faults.find_or_create(vm.name)
    record.quarantined_ms = now_ms
    for name in record.failures_ms:
        job = view.jobs.jobs.get(name)
        if job is not None:
            job.failed_on.pop(vm.name, None)
            job.retry_ms = now_ms
    reason = (
        f"failed {len(record.failures_ms)} jobs while others finish theirs"
    )
    return [QuarantineWorker(vm.name, reason)]


def release_after_quarantine(view, vm, now_ms):
    """Gives a worker tasks again after the quarantine."""
    record = view.faults.find_or_create(vm.name)
    if now_ms - record.quarantined_ms < view.settings.quarantine_ms:
        return []
    vm.quarantined = False
    view.forget_available(vm.name)
    record.failures_ms.clear()
    record.quarantined_ms = None
    return [ReleaseWorker(vm.name, "the quarantine has ended")]
