"""Order in which the jobs of a service get room."""

from wigeonport.registries import Registry

job_orders = Registry("job order")


class JobClaim:
    """What the order of jobs is decided on.

    Attributes:
        job: Job.
        queue: Queue of the job.
        lasting: Whether its tasks run until it is cancelled.
        objective_ms: Wall time by which the job has full value.
        left_ms: Estimated run time of the longest chain that is left.
    """

    __slots__ = ("job", "queue", "lasting", "objective_ms", "left_ms")

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
        self.left_ms = chain_left_ms(job)


def chain_left_ms(job):
    """Returns the estimated run time of the chain that is not done."""
    longest = 0
    for step_runs in job.occurrences.values():
        finish = []
        for step_run in step_runs:
            own_ms = step_run.step.estimated_ms if step_run.left else 0
            before = [finish[each] for each in step_run.step.depends_on]
            finish.append(max(before, default=0) + own_ms)
        longest = max(longest, *finish) if finish else longest
    return longest


@job_orders.register("objective")
def order_by_objective(claim, now_ms):
    """Lasting jobs, then what can meet its objective, the nearest first."""
    late = now_ms + claim.left_ms > claim.objective_ms
    return (not claim.lasting, late, claim.objective_ms)
