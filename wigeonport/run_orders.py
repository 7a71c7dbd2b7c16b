"""Orders to workers about their runs, on the answers to heartbeats."""

from wigeonport.logs import PartLogger
from wigeonport.worker_reports import StartOrder

logger = PartLogger("dispatch")


def reconcile(dispatcher, worker, orders):
    """Stops what is not wanted, and drops what never started."""
    listed = set()
    for row in worker.report.running:
        key = (row.task, row.run)
        listed.add(key)
        if (
            key not in worker.runs
            or not dispatcher.is_wanted(*key)
            or key in worker.stopping
        ):
            orders.stops.append(key)
    gone = [
        key
        for key in worker.runs
        if key not in listed
        and (key in worker.stopping or not dispatcher.is_wanted(*key))
    ]
    for key in gone:
        # The stop makes the worker refuse a start that is on its way.
        orders.stops.append(key)
    dispatcher.drop_runs(gone)
    worker.stopping &= set(worker.runs)


def add_starts(dispatcher, worker, orders):
    """Adds the starts of all runs that the worker does not list."""
    listed = {(row.task, row.run) for row in worker.report.running}
    stopped = set(orders.stops)
    for key in list(worker.runs):
        if key in listed or key in stopped:
            continue
        job, _, task = dispatcher.task_of(key[0])
        ticket = ""
        if dispatcher.needs_ticket(job):
            step = key[0].rpartition(".")[0]
            ticket = dispatcher.tickets_of(step).find(
                worker.incarnation, worker.heard_ms
            )
            if ticket is None:
                # The advisor asks again, and the start follows.
                continue
        orders.starts.append(
            StartOrder(*key, job.spec.payload, task.checkpoint, ticket)
        )
        logger.info(
            "Run ordered.",
            task=key[0],
            run=key[1],
            worker=worker.incarnation,
            sequence=worker.report.sequence,
        )
