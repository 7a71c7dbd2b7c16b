"""What runs beside what on one worker, and for how long.

Times are those of ``Worker.measured_ms``. Starts are taken from the orders in
the answers, so that a start that is ordered again counts from the last order.
"""

from wigeonport.batch_jobs import DONE
from wigeonport.batch_specs import split_task_id
from wigeonport.interference_samples import EndedRun

# Number of entries of a worker's totals from which those of absent kinds are
# dropped. Callers name images, so that the kinds of a worker have no bound.
MAX_TOTALS = 64


def kind_of(job, number, step):
    """Returns the name of a step's kind of task.

    Tasks of the same image behave alike, whichever queue they come from.
    Without an image, a queue and the number of a step name the kind.
    """
    if step.image:
        return f"image:{step.image}"
    return f"{job.queue}.{number}"


class StartedRun:
    """A run whose start this leader has ordered.

    Attributes:
        started_ms: Time of the order.
        exposed: Set of the kinds that ran beside it at that time.
        totals_ms: Copy of the worker's ``totals_ms`` at that time.
        step: Its Step.
        valid: Whether its run time can be compared with that of others.
    """

    __slots__ = ("started_ms", "exposed", "totals_ms", "step", "valid")

    def __init__(self, started_ms, exposed, totals_ms, step, valid):
        self.started_ms = started_ms
        self.exposed = exposed
        self.totals_ms = totals_ms
        self.step = step
        self.valid = valid


class WorkerNeighbours:
    """The runs of one worker by kind.

    Attributes:
        kinds: Maps pairs of task id and run number to the name of the kind.
        counts: Maps kind to the number of its runs.
        totals_ms: Maps pairs of kind and 1 or 2 to the time for which at
            least so many runs of the kind were live. A run is beside its own
            kind while there are 2.
        updated_ms: Time up to which the totals count.
        started: Maps pairs of task id and run number to StartedRun.
    """

    __slots__ = ("kinds", "counts", "totals_ms", "updated_ms", "started")

    def __init__(self, now_ms):
        self.kinds = {}
        self.counts = {}
        self.totals_ms = {}
        self.updated_ms = now_ms
        self.started = {}

    def advance(self, now_ms):
        """Counts the time since the last update for the present kinds."""
        passed_ms = now_ms - self.updated_ms
        if passed_ms <= 0:
            return
        self.updated_ms = now_ms
        for kind, count in self.counts.items():
            for least in (1, 2)[:count]:
                key = (kind, least)
                self.totals_ms[key] = self.totals_ms.get(key, 0) + passed_ms

    def follow(self, dispatcher, worker, orders):
        """Takes over the runs of a worker after a heartbeat was handled.

        Args:
            dispatcher: BatchDispatcher.
            worker: Worker.
            orders: WorkerOrders in answer.
        """
        if not orders.starts and len(self.kinds) == len(worker.runs):
            return
        self.advance(worker.measured_ms())
        for key in self.kinds.keys() - worker.runs.keys():
            self.remove(key)
        if len(self.totals_ms) > MAX_TOTALS:
            self.totals_ms = {
                key: total_ms
                for key, total_ms in self.totals_ms.items()
                if key[0] in self.counts
            }
        for key in worker.runs.keys() - self.kinds.keys():
            entry = dispatcher.find_task(key[0])
            if entry is not None:
                number = split_task_id(key[0])[2]
                kind = kind_of(entry[0], number, entry[1].step)
                self.kinds[key] = kind
                self.counts[kind] = self.counts.get(kind, 0) + 1
        if orders.starts:
            self.start_runs(dispatcher, worker, orders.starts)

    def remove(self, key):
        """Removes a run that is no longer live."""
        kind = self.kinds.pop(key)
        self.started.pop(key, None)
        self.counts[kind] -= 1
        if not self.counts[kind]:
            del self.counts[kind]

    def start_runs(self, dispatcher, worker, starts):
        """Records the runs that an answer starts, after ``follow``.

        A run that resumes from a checkpoint, is a copy, has its data in
        another rack or starts on an overloaded worker takes longer or
        shorter for this reason. The run time of gangs and of steps that
        depend on one rack is that of several workers, and a filler task
        runs at the rate that it is given.
        """
        capacity = worker.free_capacity()
        overloaded = capacity.cpu_milli < 0 or capacity.memory_mb < 0
        totals_ms = dict(self.totals_ms)
        for start in starts:
            key = (start.task, start.run)
            kind = self.kinds.get(key)
            if kind is None:
                continue
            step = worker.runs[key]
            task = dispatcher.find_task(start.task)[2]
            valid = not (
                overloaded
                or start.checkpoint
                or len(task.runs) > 1
                or step.gang
                or step.same_rack
                or step.lasting
                or step.fills
                or (step.data_rack and step.data_rack != worker.report.rack)
            )
            exposed = self.counts.keys() - (
                {kind} if self.counts[kind] == 1 else ()
            )
            self.started[key] = StartedRun(
                worker.measured_ms(), exposed, totals_ms, step, valid
            )

    def end_run(self, worker, end, copies, now_ms):
        """Returns the EndedRun of an end, or None if it is no evidence.

        Args:
            worker: Worker.
            end: RunEnd.
            copies: Number of other live runs of its task.
            now_ms: Monotonic time.
        """
        run = self.started.pop((end.task, end.run), None)
        if run is None or not run.valid or copies or end.outcome != DONE:
            return None
        ended_ms = worker.measured_ms()
        run_ms = ended_ms - run.started_ms
        if run_ms <= 0 or now_ms < worker.excluded_until_ms:
            return None
        self.advance(ended_ms)
        kind = self.kinds[end.task, end.run]
        shares = {}
        for (other, least), total_ms in self.totals_ms.items():
            if least == (2 if other == kind else 1):
                passed_ms = total_ms - run.totals_ms.get((other, least), 0)
                # A total that was dropped has begun again at 0.
                shares[other] = max(0, passed_ms) / run_ms
        return EndedRun(
            kind,
            end.task.rpartition(".")[0],
            worker.report.machine or worker.report.worker_id,
            run_ms,
            run.step.estimated_ms,
            run.exposed,
            shares,
        )
