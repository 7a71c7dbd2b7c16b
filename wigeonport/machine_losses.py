"""Loss of workers whose machines are down in the platform's list.

The runs on such a machine have ended. Without the list, their tasks would be
blocked until the lease of the worker has expired.
"""

from wigeonport.machine_orders import DOWN
from wigeonport.worker_reports import worker_id_of

# A worker that has been silent for more heartbeat intervals may have crashed.
SUSPECT_HEARTBEATS = 2.5
# A worker is lost only if its last heartbeat came this long before the list
# was requested, so that an outdated list can't end the runs of a worker that
# has started since.
DOWN_SILENCE_MS = 1_000


def has_silent_worker(dispatcher, now_ms):
    """Returns whether a worker with live runs may have crashed.

    Includes workers that have sent no heartbeat to this leader.
    """
    silent_ms = SUSPECT_HEARTBEATS * dispatcher.heartbeat_interval_ms
    seen = set()
    for worker in dispatcher.workers.by_id.values():
        seen.add(worker.incarnation)
        if worker.runs and now_ms - worker.last_heartbeat_ms > silent_ms:
            return True
    return any(
        runs and incarnation not in seen
        for incarnation, runs in dispatcher.workers.runs.items()
    )


def end_runs_on_down_machines(dispatcher, listed):
    """Records the runs on machines that are down as lost.

    Args:
        dispatcher: BatchDispatcher.
        listed: MachineListed.
    """
    silent_before_ms = listed.asked_ms - DOWN_SILENCE_MS
    routes = dispatcher.state.routes
    # An entry for an unknown pool comes from another writer, and the worker
    # may run on.
    down = [
        row
        for row in listed.rows.values()
        if row.state == DOWN and routes.names_service(row.pool)
    ]
    for row in down:
        worker = dispatcher.workers.by_machine.get(row.machine)
        if worker is not None and worker.last_heartbeat_ms <= silent_before_ms:
            dispatcher.workers.remove_worker(worker)
            dispatcher.record_lost_worker(
                worker.incarnation, "the machine is down"
            )
    if dispatcher.since_ms <= silent_before_ms:
        end_runs_of_unseen_workers(dispatcher, {row.worker_id for row in down})


def end_runs_of_unseen_workers(dispatcher, down_ids):
    """Records runs on workers that this leader has no heartbeat of as lost.

    Args:
        dispatcher: BatchDispatcher.
        down_ids: Ids of the workers whose machines are down.
    """
    seen = dispatcher.workers.incarnations()
    for incarnation in list(dispatcher.workers.runs):
        if incarnation not in seen and worker_id_of(incarnation) in down_ids:
            dispatcher.record_lost_worker(incarnation, "the machine is down")
