"""Order in which the jobs of a service get room."""

import heapq

from wigeonport.registries import Registry

job_orders = Registry("job order")

# Estimates are rough and the tasks of a step differ by about a third.
ESTIMATE_MARGIN = 1.25
# Worth of a job that does not depend on its size, in mean job sizes.
FIXED_WORTH = 0.3


class JobClaim:
    """What the order of jobs is decided on.

    Attributes:
        job: BatchJob.
        queue: Queue of the job.
        lasting: Whether its tasks run until it is cancelled.
        objective_ms: Wall time by which the job has full value.
        left_ms: Estimated run time of the longest chain that is left.
        work: Estimated work that is left, in thousandths of a core times
            ms.
        running: Estimated work of the tasks that run, in the same unit.
        begun: Whether a task of it has been started.
    """

    __slots__ = (
        "job",
        "queue",
        "lasting",
        "objective_ms",
        "left_ms",
        "work",
        "running",
        "begun",
    )

    def __init__(self, job, queue):
        self.job = job
        self.queue = queue
        spec = job.spec
        self.lasting = any(step.lasting for step in spec.steps)
        start_ms = job.submitted_ms
        if spec.repeat_count:
            start_ms = spec.due_ms(max(0, job.opened - 1))
        self.objective_ms = (
            start_ms
            + queue.stretch * spec.chain_ms()
            + queue.target_latency_ms
        )
        self.left_ms, self.work, self.running = estimate_left(job)
        self.begun = job.state == "running"


def estimate_left(job):
    """Returns the longest chain, the waiting and the running work."""
    longest, work, running = 0, 0, 0
    for step_runs in job.occurrences.values():
        finish = []
        for step_run in step_runs:
            step = step_run.step
            own_ms = step.estimated_ms if step_run.left else 0
            before = [finish[each] for each in step.depends_on]
            finish.append(max(before, default=0) + own_ms)
            task_work = step.cpu_milli * own_ms
            work += len(step_run.waiting) * task_work
            running += (step_run.left - len(step_run.waiting)) * task_work
        longest = max(longest, *finish) if finish else longest
    return longest, work, running


@job_orders.register("objective")
def order_by_objective(claims, now_ms, capacity_milli):
    """Lasting jobs, then what can meet its objective, the nearest first."""

    def key(claim):
        late = now_ms + claim.left_ms > claim.objective_ms
        return (not claim.lasting, late, claim.objective_ms)

    return sorted(claims, key=key)


@job_orders.register("selection")
def order_by_selection(claims, now_ms, capacity_milli):
    """Lasting jobs, then the set of jobs that can be on time together.

    Jobs are taken in the order of their objectives. When one would be
    late, the taken job with the most work for its worth is put behind, as
    in the algorithm of Moore and Hodgson (1968) for one machine; the
    processors of the pool count as one machine.
    """
    lasting = [claim for claim in claims if claim.lasting]
    timed = [claim for claim in claims if not claim.lasting]
    timed.sort(key=lambda claim: claim.objective_ms)
    mean = sum(claim.work for claim in timed) / len(timed) if timed else 0
    taken, work = [], 0
    behind = set()
    for claim in timed:
        chain_ms = claim.left_ms * ESTIMATE_MARGIN
        if now_ms + chain_ms > claim.objective_ms:
            behind.add(id(claim))
            continue
        worth = FIXED_WORTH * mean + claim.work + 1
        rank = -claim.work / worth if not claim.begun else 0
        heapq.heappush(taken, (rank, id(claim), claim))
        work += claim.work
        latest_ms = claim.objective_ms - now_ms - chain_ms / 2
        while taken and work * ESTIMATE_MARGIN > latest_ms * capacity_milli:
            _, _, dropped = heapq.heappop(taken)
            behind.add(id(dropped))
            work -= dropped.work
    on_time = [claim for claim in timed if id(claim) not in behind]
    late = [claim for claim in timed if id(claim) in behind]
    return lasting + on_time + late
