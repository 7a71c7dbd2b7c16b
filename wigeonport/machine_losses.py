"""Workers whose machines are down, by the platform's list of machines.

What ran on such a machine is over. Without the list it would stay blocked
until the lease of the worker has lapsed.
"""

from wigeonport.machine_orders import DOWN
from wigeonport.worker_reports import worker_id_of

# A worker that has been silent for more intervals of heartbeats may have
# crashed.
SUSPECT_BEATS = 2.5
# A worker must have been silent for so long before the list was asked for,
# so that a list that lags cannot end a life that began after it.
DOWN_SILENCE_MS = 1_000


def has_silent_worker(dispatcher, now_ms):
    """Returns whether a worker with live runs may have crashed."""
    silent_ms = SUSPECT_BEATS * dispatcher.heartbeat_interval_ms
    known = set()
    for worker in dispatcher.workers.by_id.values():
        known.add(worker.incarnation)
        if worker.runs and now_ms - worker.heard_ms > silent_ms:
            return True
    return any(
        runs and incarnation not in known
        for incarnation, runs in dispatcher.workers.runs.items()
    )


def lose_down_workers(dispatcher, listed):
    """Ends the runs on machines that are down.

    Args:
        dispatcher: BatchDispatcher.
        listed: MachineListed.
    """
    silent_before_ms = listed.asked_ms - DOWN_SILENCE_MS
    down = [row for row in listed.rows.values() if row.state == DOWN]
    for row in down:
        worker = dispatcher.workers.by_machine.get(row.machine)
        if worker is not None and worker.heard_ms <= silent_before_ms:
            dispatcher.workers.forget(worker)
            dispatcher.lose(worker.incarnation, "the machine is down")
    if dispatcher.since_ms <= silent_before_ms:
        lose_unheard(dispatcher, {row.worker_id for row in down})


def lose_unheard(dispatcher, down_ids):
    """Ends the runs of workers that this leader has not heard."""
    known = dispatcher.workers.incarnations()
    for incarnation in list(dispatcher.workers.runs):
        if incarnation not in known and worker_id_of(incarnation) in down_ids:
            dispatcher.lose(incarnation, "the machine is down")
