"""Quarantines workers that fail tasks which other workers would finish.

Failures on such a worker don't count against the jobs.
"""

from wigeonport.plan_commands import QuarantineWorker, ReleaseWorker

MIN_POOL_SIZE_FOR_QUARANTINE = 3


class WorkerRecord:
    """Recent outcomes of the tasks of one worker.

    Attributes:
        failures_ms: Maps job id to the time of its last failure, for failures
            since the last success.
        succeeded_ms: Time of the last success, or None.
        quarantined_ms: Start of the quarantine, or None.
    """

    __slots__ = ("failures_ms", "succeeded_ms", "quarantined_ms")

    def __init__(self):
        self.failures_ms = {}
        self.succeeded_ms = None
        self.quarantined_ms = None


class WorkerFaults:
    """Recent task outcomes of all workers that ran tasks.

    Attributes:
        records: Maps VM name to its WorkerRecord.
    """

    __slots__ = ("records",)

    def __init__(self):
        self.records = {}

    def find_or_create(self, vm_name):
        """Returns the record of a worker; creates it if there is none."""
        return self.records.setdefault(vm_name, WorkerRecord())

    def record_success(self, vm_name, now_ms):
        """Records a finished task; clears the failures of the worker."""
        record = self.find_or_create(vm_name)
        record.succeeded_ms = now_ms
        record.failures_ms.clear()

    def record_failure(self, vm_name, job_name, now_ms):
        """Records a failed task."""
        self.find_or_create(vm_name).failures_ms[job_name] = now_ms

    def finishes_tasks(self, vm_name):
        """Returns whether the worker is known to finish tasks.

        That is so if it finished one and at most one job failed on it since;
        only then does a failure on it count against the job.
        """
        record = self.find_or_create(vm_name)
        return record.succeeded_ms is not None and len(record.failures_ms) <= 1


def update_quarantines(view, now_ms):
    """Quarantines faulty workers and releases those after their quarantine."""
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
    """Returns whether a worker fails jobs while others finish theirs."""
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
    # If most workers fail, they share a cause that is not in this worker.
    return succeeded > 0 and 2 * succeeded >= len(others)


def succeeded_since(record, start_ms):
    """Returns whether a worker has finished a task since a time."""
    return record.succeeded_ms is not None and record.succeeded_ms >= start_ms


def may_quarantine(view, pool):
    """Returns whether one more worker of a pool may be quarantined.

    At most ``quarantine_share`` of the workers may be, but at least one in a
    pool of ``MIN_POOL_SIZE_FOR_QUARANTINE`` or more.
    """
    count = sum(vm.quarantined for vm in view.fleet.members(pool.name))
    size = len(pool.members)
    allowed = int(size * view.settings.quarantine_share)
    if size >= MIN_POOL_SIZE_FOR_QUARANTINE:
        allowed = max(allowed, 1)
    return count < allowed


def quarantine(view, vm, now_ms):
    """Quarantines a worker; its failures no longer count against the jobs."""
    vm.quarantined = True
    view.drop_available(vm.name)
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
    """Releases a worker whose quarantine is over; returns the commands."""
    record = view.faults.find_or_create(vm.name)
    if now_ms - record.quarantined_ms < view.settings.quarantine_ms:
        return []
    vm.quarantined = False
    view.drop_available(vm.name)
    record.failures_ms.clear()
    record.quarantined_ms = None
    return [ReleaseWorker(vm.name, "the quarantine has ended")]
