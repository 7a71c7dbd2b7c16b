"""Order in which the jobs of a service get room."""

from wigeonport.registries import Registry

job_orders = Registry("job order")

# Estimates are rough and the tasks of a step differ by about a third.
ESTIMATE_MARGIN = 1.25


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
        startable: Triples of occurrence, number and StepRun, of the steps
            whose tasks may be started one by one.
    """

    __slots__ = (
        "job",
        "queue",
        "lasting",
        "objective_ms",
        "left_ms",
        "work",
        "running",
        "startable",
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
            + queue.stretch * spec.longest_chain_ms()
            + queue.target_latency_ms
        )
        self.left_ms, self.work, self.running = estimate_left(job)
        self.startable = []
        self.find_startable()

    def find_startable(self):
        """Looks for the steps that are ready."""
        self.startable = [
            ready for ready in self.job.ready_steps() if not ready[2].step.gang
        ]


class OrderedClaims:
    """The claims of a service in their order, kept for a moment.

    Attributes:
        made_ms: Wall time of the order.
        order: Function that sorts claims.
        claims: JobClaim list, in order.
        by_job: JobClaim by job id.
    """

    __slots__ = ("made_ms", "order", "claims", "by_job")

    def __init__(self, claims, order, made_ms):
        self.made_ms = made_ms
        self.order = order
        self.claims = order(claims, made_ms)
        self.by_job = {claim.job.job_id: claim for claim in claims}

    def add(self, claim):
        """Takes a new job in."""
        self.by_job[claim.job.job_id] = claim
        self.claims = self.order([*self.claims, claim], self.made_ms)

    def note_step(self, job_id):
        """Learns that a step of a job has ended."""
        claim = self.by_job.get(job_id)
        if claim is not None:
            claim.find_startable()


def estimate_left(job):
    """Returns the longest chain, the waiting and the running work."""
    longest, work, running = 0, 0, 0
    for step_runs in job.occurrences.values():
        finish = []
        for step_run in step_runs:
            step = step_run.step
            own_ms = step.estimated_ms if step_run.remaining else 0
            before = [finish[each] for each in step.depends_on]
            finish.append(max(before, default=0) + own_ms)
            task_work = step.cpu_milli * own_ms
            work += len(step_run.waiting) * task_work
            running += (step_run.remaining - len(step_run.waiting)) * task_work
        longest = max(longest, *finish) if finish else longest
    return longest, work, running


@job_orders.register("objective")
def order_by_objective(claims, now_ms):
    """Lasting jobs, then what can meet its objective, the nearest first."""

    def key(claim):
        late = now_ms + claim.left_ms > claim.objective_ms
        return (not claim.lasting, late, claim.objective_ms)

    return sorted(claims, key=key)
