"""Finds workers that fail every task, without blaming the jobs."""

from wigeonport.plan_commands import QuarantineWorker, ReleaseWorker

LEAST_SIZE_FOR_QUARANTINE = 3


class WorkerRecord:
    """Recent outcomes of the tasks of one worker.

    Attributes:
        failed: Time of the last failure by job, since the last success.
        succeeded_ms: Time of the last success, or None.
        quarantined_ms: Start of the quarantine, or None.
    """

    __slots__ = ("failed", "succeeded_ms", "quarantined_ms")

    def __init__(self):
        self.failed = {}
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

    def find(self, vm_name):
        """Returns the record of a worker; creates it if new."""
        return self.records.setdefault(vm_name, WorkerRecord())

    def record_success(self, vm_name, now_ms):
        """Records a finished task."""
        record = self.find(vm_name)
        record.succeeded_ms = now_ms
        record.failed.clear()

    def record_failure(self, vm_name, job_name, now_ms):
        """Records a failed task."""
        self.find(vm_name).failed[job_name] = now_ms

    def finishes_tasks(self, vm_name):
        """Returns whether a failure on this worker speaks against the job.

        Only a worker that finished a task, and failed at most this job
        since, is known to be sound.
        """
        record = self.find(vm_name)
        return record.succeeded_ms is not None and len(record.failed) <= 1


def review_workers(view, now_ms):
    """Quarantines and releases workers of the pools in scope."""
    commands = []
    for pool in view.pools():
        for name in pool.members:
            if name not in view.faults.records:
                continue
            vm = view.fleet.vms[name]
            if vm.quarantined:
                commands.extend(release_after_time(view, vm, now_ms))
            elif is_faulty(view, vm, now_ms) and has_room(view, pool):
                commands.extend(quarantine(view, vm, now_ms))
    return commands


def is_faulty(view, vm, now_ms):
    """Returns whether a worker fails what other workers finish."""
    settings = view.settings
    start_ms = now_ms - settings.worker_failure_window_ms
    failed = view.faults.find(vm.name).failed
    recent = [name for name, at in failed.items() if at >= start_ms]
    if len(recent) < settings.worker_failed_jobs:
        return False
    others = [
        view.faults.records[name]
        for name in view.fleet.pools[vm.pool].members
        if name != vm.name and name in view.faults.records
    ]
    sound = sum(is_sound(record, start_ms) for record in others)
    # When most workers fail, the cause is not in this worker.
    return sound > 0 and 2 * sound >= len(others)


def is_sound(record, start_ms):
    """Returns whether a worker finished a task in the window."""
    return record.succeeded_ms is not None and record.succeeded_ms >= start_ms


def has_room(view, pool):
    """Returns whether the floor allows one more quarantine in a pool."""
    count = sum(vm.quarantined for vm in view.fleet.members(pool.name))
    size = len(pool.members)
    allowed = int(size * view.settings.quarantine_share)
    if size >= LEAST_SIZE_FOR_QUARANTINE:
        allowed = max(allowed, 1)
    return count < allowed


def quarantine(view, vm, now_ms):
    """Excludes a worker and takes its failures back from the jobs."""
    vm.quarantined = True
    view.forget_available(vm.name)
    record = view.faults.find(vm.name)
    record.quarantined_ms = now_ms
    for name in record.failed:
        job = view.jobs.jobs.get(name)
        if job is not None:
            job.failed_on.pop(vm.name, None)
            job.retry_ms = now_ms
    reason = f"failed {len(record.failed)} jobs while others finish theirs"
    return [QuarantineWorker(vm.name, reason)]


def release_after_time(view, vm, now_ms):
    """Gives a worker tasks again after the quarantine."""
    record = view.faults.find(vm.name)
    if now_ms - record.quarantined_ms < view.settings.quarantine_ms:
        return []
    vm.quarantined = False
    view.forget_available(vm.name)
    record.failed.clear()
    record.quarantined_ms = None
    return [ReleaseWorker(vm.name, "the quarantine has ended")]
