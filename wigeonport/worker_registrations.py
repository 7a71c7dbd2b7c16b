"""Checks before a heartbeat registers its sender as a worker.

A heartbeat may come from another writer than a worker, with fields missing or
with a service that no configuration names. A newer incarnation on a machine
ends the runs of the former one at once, so that a heartbeat is checked before
it changes what the leader knows of any worker.
"""

from wigeonport.logs import PartLogger

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


def find_rejection(dispatcher, report):
    """Returns why a heartbeat registers no worker, or ``""`` if it does.

    Args:
        dispatcher: BatchDispatcher.
        report: WorkerReport.
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
    if dispatcher.state.routes.names_service(report.service):
        return ""
    if workers.runs.get(report.incarnation):
        # A configuration may remove a service whose runs are still live.
        return ""
    if report.incarnation in workers.removed:
        return ""
    return "no configuration names its service"


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
    """Registers the pending workers whose service is named now.

    A worker may start while the configuration with its service is on its way
    to this leader. The tasks of the machine's former worker then wait only for
    the configuration, and not for the next heartbeat as well.
    """
    for registration in list(dispatcher.workers.pending.values()):
        if not find_rejection(dispatcher, registration.report):
            dispatcher.register_worker(
                registration.report, registration.arrived_ms
            )


def drop_silent(dispatcher, now_ms):
    """Drops the pending registrations without a heartbeat for a lease."""
    pending = dispatcher.workers.pending
    for incarnation, registration in list(pending.items()):
        silent_ms = now_ms - registration.arrived_ms
        if silent_ms > dispatcher.settings.run_lease_ms:
            del pending[incarnation]
