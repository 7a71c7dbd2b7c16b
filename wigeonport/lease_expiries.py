"""Loss of workers whose leases have expired."""


def drop_expired(dispatcher, now_ms):
    """Records the runs on workers with expired leases as lost.

    Workers that have sent no heartbeat in this term have none of this leader;
    those that the former one gave have expired after a while.

    Args:
        dispatcher: BatchDispatcher.
        now_ms: Monotonic time.
    """
    workers = dispatcher.workers
    silent_ms = dispatcher.settings.run_lease_ms
    for worker in list(workers.by_id.values()):
        if now_ms > worker.lease_until_ms and (
            now_ms - worker.last_heartbeat_ms > silent_ms
        ):
            workers.remove_worker(worker)
            dispatcher.record_lost_worker(
                worker.incarnation, "the lease has expired"
            )
    if now_ms > dispatcher.orphans_until_ms:
        current = workers.incarnations()
        for incarnation in list(workers.runs):
            if incarnation not in current:
                dispatcher.record_lost_worker(
                    incarnation, "no heartbeat in this term"
                )
