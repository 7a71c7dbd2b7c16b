"""Start and stop orders in the answers to heartbeats."""

from wigeonport.logs import PartLogger
from wigeonport.worker_reports import StartOrder

logger = PartLogger("dispatch")


def reconcile(dispatcher, worker, orders):
    """Stops unwanted runs, and records those that never started as lost."""
    reported = set()
    for row in worker.report.running:
        key = (row.task, row.run)
        reported.add(key)
        if (
            key not in worker.runs
            or not dispatcher.should_continue(*key)
            or key in worker.stopping
        ):
            orders.stops.append(key)
    never_started = [
        key
        for key in worker.runs
        if key not in reported
        and (key in worker.stopping or not dispatcher.should_continue(*key))
    ]
    for key in never_started:
        # The stop makes the worker reject a start order that is still in
        # flight.
        orders.stops.append(key)
    dispatcher.record_lost_runs(never_started)
    worker.stopping &= set(worker.runs)


def add_starts(dispatcher, worker, orders):
    """Orders the start of all runs that the worker does not report."""
    reported = {(row.task, row.run) for row in worker.report.running}
    stopped = set(orders.stops)
    for key in list(worker.runs):
        if key in reported or key in stopped:
            continue
        job, _, task = dispatcher.find_task(key[0])
        ticket = ""
        if dispatcher.needs_ticket(job):
            step = key[0].rpartition(".")[0]
            ticket = dispatcher.tickets_of(step).find(
                worker.incarnation, worker.last_heartbeat_ms
            )
            if ticket is None:
                # The ticket is no longer valid. The advisor requests a new
                # one, and the start follows with a later heartbeat.
                continue
        orders.starts.append(
            StartOrder(*key, job.spec.payload, task.checkpoint, ticket)
        )
        logger.info(
            "Run start ordered.",
            task=key[0],
            run=key[1],
            worker=worker.incarnation,
            sequence=worker.report.sequence,
        )
