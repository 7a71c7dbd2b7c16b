"""Start and stop orders in the answers to heartbeats."""

from wigeonport.logs import PartLogger
from wigeonport.run_measurements import forget_orders, note_order
from wigeonport.task_evacuations import FULL_PROGRESS_PERCENT
from wigeonport.tenant_usage import exceeds_limit
from wigeonport.worker_reports import StartOrder

logger = PartLogger("dispatch")

# Heartbeat interval of a worker on which a lasting task starts up. Other tasks
# of its step may be moved only once it is known to be available, and an upkeep
# wave waits for that.
STARTUP_INTERVAL_MS = 300
# The same interval after a heartbeat that was held up, which starts nothing.
DELAYED_INTERVAL_MS = 100
# Maximum size of the starts in one answer. Workers drop answers over 4 MiB;
# the rest is left for the lists of stops and rates.
MAX_START_BYTES = 3 * 1024 * 1024
# The task id and the run number, with the marks around them.
START_OVERHEAD_BYTES = 200
# JSON escapes a character by at most six bytes.
ESCAPED_BYTES = 6
# Time after which a task that is not at full progress counts as slow.
STARTUP_MS = 3_000


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
        and (
            key in worker.stopping
            or not dispatcher.should_continue(*key)
            or not may_start(dispatcher, key[0], worker)
        )
    ]
    for key in never_started:
        # The stop makes the worker reject a start order that is still in
        # flight.
        orders.stops.append(key)
    dispatcher.record_lost_runs(never_started)
    worker.stopping &= set(worker.runs)


def may_start(dispatcher, task, worker):
    """Returns whether a worker may start a task that it was assigned.

    Advice that a queue has got since then may refuse it, and the limit of its
    tenant may have been lowered before the order reached the worker.
    """
    entry = dispatcher.find_task(task)
    if entry is None:
        return True
    if exceeds_limit(dispatcher, entry[0], entry[1].step):
        return False
    if not dispatcher.needs_ticket(entry[0]):
        return True
    step = task.rpartition(".")[0]
    return not dispatcher.tickets.is_refused(step, worker.incarnation)


def is_starting_up(worker):
    """Returns whether a lasting task of a worker is starting up."""
    now_ms = worker.measured_ms()
    for key, step in worker.runs.items():
        if not step.lasting or key in worker.stopping:
            continue
        progress = worker.progress.get(key)
        if progress is None or (
            progress.percent < FULL_PROGRESS_PERCENT
            and now_ms - progress.first_ms < STARTUP_MS
        ):
            return True
    return False


def choose_interval(worker, regular_ms):
    """Returns the time until a worker should send its next heartbeat."""
    if not worker.receives_answer():
        return min(regular_ms, DELAYED_INTERVAL_MS)
    if is_starting_up(worker):
        return min(regular_ms, STARTUP_INTERVAL_MS)
    return regular_ms


def add_starts(dispatcher, worker, orders):
    """Orders the start of the runs that the worker does not report.

    Those that do not fit into one answer follow with the next, which the
    worker is asked for soon.
    """
    forget_orders(worker)
    size_bytes = 0
    reported = {(row.task, row.run) for row in worker.report.running}
    stopped = set(orders.stops)
    for key in list(worker.runs):
        if key in reported or key in stopped:
            continue
        job, _, task = dispatcher.find_task(key[0])
        ticket = ""
        if dispatcher.needs_ticket(job):
            step = key[0].rpartition(".")[0]
            ticket = dispatcher.tickets.find(
                step, worker.incarnation, worker.last_heartbeat_ms
            )
            if ticket is None:
                # The advisor requests a ticket, and the start follows with
                # a later heartbeat.
                continue
        start = StartOrder(*key, job.spec.payload, task.checkpoint, ticket)
        size_bytes += count_start_bytes(start)
        if size_bytes > MAX_START_BYTES:
            orders.retry_after_ms = min(
                orders.retry_after_ms, DELAYED_INTERVAL_MS
            )
            break
        orders.starts.append(start)
        note_order(worker, key)
        logger.info(
            "Run start ordered.",
            task=key[0],
            run=key[1],
            worker=worker.incarnation,
            sequence=worker.report.sequence,
        )


def count_start_bytes(start):
    """Returns the maximum size of a StartOrder in an answer, in bytes."""
    texts = (start.payload, start.checkpoint, start.ticket)
    return START_OVERHEAD_BYTES + ESCAPED_BYTES * sum(map(len, texts))
