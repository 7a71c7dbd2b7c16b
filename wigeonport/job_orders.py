"""Order in which the jobs of a service get room."""

from wigeonport.registries import Registry

job_orders = Registry("job order")

# Estimates are rough and the tasks of a step differ by about a third.
ESTIMATE_MARGIN = 1.25


class RankedJob:
    """What the order of jobs is decided on.

    Attributes:
        job: BatchJob.
        queue: Queue of the job.
        lasting: Whether its tasks run until it is cancelled.
        objective_ms: Wall time by which the job has full value.
        remaining_ms: Estimated run time of the longest chain that is left.
        waiting_work: Estimated work that is left, in thousandths of a core times
            ms.
        running_work: Estimated work of the tasks that run, in the same unit.
        startable: Triples of occurrence, number and StepRun, of the steps
            whose tasks may be started one by one.
    """

    __slots__ = (
        "job",
        "queue",
        "lasting",
        "objective_ms",
        "remaining_ms",
        "waiting_work",
        "running_work",
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
            + queue.stretch * spec.chain_ms()
            + queue.target_latency_ms
        )
        self.remaining_ms, self.waiting_work, self.running_work = (
            estimate_remaining(job)
        )
        self.startable = []
        self.update_startable()

    def update_startable(self):
        """Looks for the steps that are ready."""
        self.startable = [
            ready for ready in self.job.ready_steps() if not ready[2].step.gang
        ]


class JobRanking:
    """The claims of a service in their order, kept for a moment.

    Attributes:
        created_ms: Wall time of the order.
        policy: Function that sorts claims.
        ranked_jobs: JobClaim list, in order.
        by_job_id: JobClaim by job id.
    """

    __slots__ = ("created_ms", "policy", "ranked_jobs", "by_job_id")

    def __init__(self, ranked_jobs, policy, created_ms):
        self.created_ms = created_ms
        self.policy = policy
        self.ranked_jobs = policy(ranked_jobs, created_ms)
        self.by_job_id = {
            ranked_job.job.job_id: ranked_job for ranked_job in ranked_jobs
        }

    def add(self, ranked_job):
        """Takes a new job in."""
        self.by_job_id[ranked_job.job.job_id] = ranked_job
        self.ranked_jobs = self.policy(
            [*self.ranked_jobs, ranked_job], self.created_ms
        )

    def refresh_job(self, job_id):
        """Learns that a step of a job has ended."""
        ranked_job = self.by_job_id.get(job_id)
        if ranked_job is not None:
            ranked_job.update_startable()


def estimate_remaining(job):
    """Returns the longest chain, the waiting and the running work."""
    longest, waiting_work, running_work = 0, 0, 0
    for step_runs in job.occurrences.values():
        finish = []
        for step_run in step_runs:
            step = step_run.step
            own_ms = step.estimated_ms if step_run.left else 0
            before = [finish[each] for each in step.depends_on]
            finish.append(max(before, default=0) + own_ms)
            task_work = step.cpu_milli * own_ms
            waiting_work += len(step_run.waiting) * task_work
            running_work += (step_run.left - len(step_run.waiting)) * task_work
        longest = max(longest, *finish) if finish else longest
    return longest, waiting_work, running_work


@job_orders.register("objective")
def order_by_objective(ranked_jobs, now_ms):
    """Lasting jobs, then what can meet its objective, the nearest first."""

    def key(ranked_job):
        late = now_ms + ranked_job.remaining_ms > ranked_job.objective_ms
        return (not ranked_job.lasting, late, ranked_job.objective_ms)

    return sorted(ranked_jobs, key=key)
