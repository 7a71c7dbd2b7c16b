"""Policies for the order in which the jobs of a service get capacity."""

from wigeonport.registries import Registry

job_orders = Registry("job order")

# Factor on estimated work: estimates are rough, and the run times of the
# tasks of a step differ by about a third.
ESTIMATE_MARGIN = 1.25


class RankedJob:
    """An active job with the values that decide its rank.

    Attributes:
        job: BatchJob.
        queue: Queue of the job.
        lasting: Whether it has tasks that run until the job is cancelled.
        objective_ms: Wall time by which the job should be completed.
        remaining_ms: Estimated run time of the longest remaining chain of
            dependent steps.
        waiting_work: Estimated work of its waiting tasks, in thousandths of
            a core times ms.
        running_work: Estimated work of its running tasks, in the same unit.
        startable: Triples of occurrence, step number and StepRun, for the
            steps whose tasks may be started one by one, so not for gangs.
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
            + queue.stretch * spec.longest_chain_ms()
            + queue.target_latency_ms
        )
        self.remaining_ms, self.waiting_work, self.running_work = (
            estimate_remaining(job)
        )
        self.startable = []
        self.update_startable()

    def update_startable(self):
        """Recomputes the steps whose tasks may be started."""
        self.startable = [
            triple
            for triple in self.job.ready_steps()
            if not triple[2].step.gang
        ]


class JobRanking:
    """The ranked jobs of a service, cached for a short time.

    Attributes:
        created_ms: Wall time at which the ranking was computed.
        policy: Function from ``job_orders`` that sorts RankedJobs.
        ranked_jobs: List of RankedJob, highest rank first.
        by_job_id: Maps job id to RankedJob.
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
        """Adds a new job at its rank."""
        self.by_job_id[ranked_job.job.job_id] = ranked_job
        self.ranked_jobs = self.policy(
            [*self.ranked_jobs, ranked_job], self.created_ms
        )

    def refresh_job(self, job_id):
        """Updates a job of which a step has ended."""
        ranked_job = self.by_job_id.get(job_id)
        if ranked_job is not None:
            ranked_job.update_startable()


def estimate_remaining(job):
    """Returns the remaining time, the waiting and the running work of a job.

    See ``RankedJob`` for the three values and their units.
    """
    longest_ms, waiting_work, running_work = 0, 0, 0
    for step_runs in job.occurrences.values():
        finish_ms = []
        for step_run in step_runs:
            step = step_run.step
            own_ms = step.estimated_ms if step_run.remaining else 0
            dependencies_ms = [finish_ms[each] for each in step.depends_on]
            finish_ms.append(max(dependencies_ms, default=0) + own_ms)
            task_work = step.cpu_milli * own_ms
            waiting_work += len(step_run.waiting) * task_work
            running_work += (
                step_run.remaining - len(step_run.waiting)
            ) * task_work
        longest_ms = max(longest_ms, *finish_ms) if finish_ms else longest_ms
    return longest_ms, waiting_work, running_work


@job_orders.register("objective")
def order_by_objective(ranked_jobs, now_ms):
    """Sorts by objective, the earliest first.

    Lasting jobs precede all others, and jobs that can still meet their
    objective precede those that will be late.
    """

    def key(ranked_job):
        late = now_ms + ranked_job.remaining_ms > ranked_job.objective_ms
        return (not ranked_job.lasting, late, ranked_job.objective_ms)

    return sorted(ranked_jobs, key=key)
