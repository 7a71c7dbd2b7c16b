"""Checks before a heartbeat registers its sender as a worker.

A heartbeat may come from another writer than a worker, with fields missing or
with a service that no configuration names. A newer incarnation on a machine
ends the runs of the former one, so that a heartbeat is checked before it
changes what the leader knows of any worker.

Runs that their worker still reports are not ended by a heartbeat under
another id. They are over once their worker starts again under its own id,
falls silent, or is no longer the one that the platform lists on the machine.
"""

from wigeonport.logs import PartLogger
from wigeonport.machine_losses import SUSPECT_HEARTBEATS

logger = PartLogger("dispatch")

# Maximum number of pending registrations, far more than there are workers.
MAX_PENDING = 1_024


class PendingRegistration:
    """The newest heartbeat of a sender that is not registered.

    Attributes:
        report: WorkerReport.
        arrived_ms: Monotonic time at which it arrived.
    """

    __slots__ = ("report", "arrived_ms")

    def __init__(self, report, arrived_ms):
        self.report = report
        self.arrived_ms = arrived_ms


def find_rejection(dispatcher, report, listed=False):
    """Returns why a heartbeat registers no worker, or ``""`` if it does.

    Args:
        dispatcher: BatchDispatcher.
        report: WorkerReport.
        listed: Whether the platform lists its sender on its machine.
    """
    if report.capacity is None:
        return "it reports no capacity"
    workers = dispatcher.workers
    known = workers.by_id.get(report.worker_id)
    if known is not None and known.incarnation == report.incarnation:
        if report.service != known.report.service:
            return "its incarnation belongs to another service"
        if report.machine != known.report.machine:
            return "its incarnation runs on another machine"
        return ""
    rival = find_rival(dispatcher, report)
    if rival is not None and not listed:
        return f"{rival.incarnation} still reports"
    if dispatcher.state.routes.names_service(report.service):
        return ""
    if workers.runs.get(report.incarnation):
        # A configuration may remove a service whose runs are still live.
        return ""
    if report.incarnation in workers.removed:
        return ""
    return "no configuration names its service"


def find_rival(dispatcher, report):
    """Returns the worker whose runs a new incarnation must not end, or None.

    Args:
        dispatcher: BatchDispatcher.
        report: WorkerReport of the new incarnation.
    """
    workers = dispatcher.workers
    for worker in (
        workers.by_id.get(report.worker_id),
        workers.by_machine.get(report.machine),
    ):
        if worker is None or worker.report.started_ms > report.started_ms:
            continue
        restarted = (
            worker.report.worker_id == report.worker_id
            and worker.report.machine == report.machine
        )
        if not restarted and still_reports(dispatcher, worker):
            return worker
    return None


def has_rivals(dispatcher):
    """Returns whether a pending worker waits for another one's silence."""
    return any(
        find_rival(dispatcher, registration.report) is not None
        for registration in dispatcher.workers.pending.values()
    )


def still_reports(dispatcher, worker):
    """Returns whether a worker has made a report recently.

    The last one may have been made long before it arrived.
    """
    made_ms = worker.last_heartbeat_ms - max(0, worker.delay_ms)
    silent_ms = SUSPECT_HEARTBEATS * dispatcher.heartbeat_interval_ms
    return dispatcher.now_ms - made_ms <= silent_ms


def keep_pending(dispatcher, report, reason, now_ms):
    """Keeps a heartbeat that registers no worker.

    Args:
        dispatcher: BatchDispatcher.
        report: WorkerReport.
        reason: Why it registers none.
        now_ms: Monotonic time of its arrival.
    """
    pending = dispatcher.workers.pending
    if pending.pop(report.incarnation, None) is None:
        logger.info(
            "Worker not registered.",
            worker=report.incarnation,
            service=report.service,
            machine=report.machine,
            reason=reason,
        )
        if len(pending) >= MAX_PENDING:
            del pending[next(iter(pending))]
    pending[report.incarnation] = PendingRegistration(report, now_ms)


def register_pending(dispatcher):
    """Registers the pending workers that nothing keeps from it any more.

    A worker may start while the configuration with its service is on its way
    to this leader, or before the silence of its machine's former worker is
    noticed. The tasks of that one do not wait for the next heartbeat as well.
    """
    for registration in list(dispatcher.workers.pending.values()):
        register_unless_rejected(dispatcher, registration, listed=False)


def register_listed(dispatcher, rows):
    """Registers the pending workers that the platform lists.

    Args:
        dispatcher: BatchDispatcher.
        rows: Maps machine to MachineRow, from the platform's newest list.
    """
    for registration in list(dispatcher.workers.pending.values()):
        report = registration.report
        row = rows.get(report.machine)
        if row is not None and row.worker_id == report.worker_id:
            register_unless_rejected(dispatcher, registration, listed=True)


def register_unless_rejected(dispatcher, registration, listed):
    """Registers a pending worker if ``find_rejection`` allows it."""
    report = registration.report
    if not find_rejection(dispatcher, report, listed):
        dispatcher.register_worker(report, registration.arrived_ms)


def drop_silent(dispatcher, now_ms):
    """Drops the pending registrations without a heartbeat for a lease."""
    pending = dispatcher.workers.pending
    for incarnation, registration in list(pending.items()):
        silent_ms = now_ms - registration.arrived_ms
        if silent_ms > dispatcher.settings.run_lease_ms:
            del pending[incarnation]
