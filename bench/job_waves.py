"""Measures the planner when a team submits many jobs and cancels them.

Usage: PYTHONPATH=.:tools:bench python bench/job_waves.py

A team submits jobs to 20 pools of a fleet of 1,800 workers and cancels all of
them at once. All times are processor time of this process, on one core.

Each row of the output gives the number of jobs, the time per submission in
us, the time of a full plan in ms before the submissions and with the jobs,
the time in ms to cancel all jobs, and the number of cancel commands that the
planner returned.
"""

from planning import SIZES, PlannerBench

from wigeonport import plan_events as events
from wigeonport.views import Size

JOB_COUNTS = (1_000, 5_000, 10_000)
POOL_COUNT = 20
TEAM = "team-0"


def submit(bench, count):
    """Submits jobs; returns the processor time of all together, in us."""
    pools = list(bench.planner.view.fleet.pools)[:POOL_COUNT]
    total_us = 0
    for number in range(count):
        job = events.JobSubmitted(
            f"wave-{number}",
            TEAM,
            pools[number % POOL_COUNT],
            "wave",
            Size(4, 8_192),
            60_000,
        )
        commands, elapsed_us = bench.step(job)
        bench.confirm(commands)
        total_us += elapsed_us
    return total_us


def measure(count):
    """Prints the row of one number of jobs."""
    bench = PlannerBench(*SIZES[-1])
    plan_without_jobs_us = bench.advance_second()
    submit_us = submit(bench, count)
    plan_with_jobs_us = bench.advance_second()
    commands, cancel_us = bench.step(events.JobsCancelled(team=TEAM))
    cancel_command_count = sum(
        command.kind == "cancel_jobs" for command in commands
    )
    cells = (
        count,
        f"{submit_us / count:.0f}",
        f"{plan_without_jobs_us / 1000:.1f}",
        f"{plan_with_jobs_us / 1000:.1f}",
        f"{cancel_us / 1000:.1f}",
        cancel_command_count,
    )
    print("| " + " | ".join(map(str, cells)) + " |")


def main():
    """Prints the table."""
    print(
        "| jobs | submission (us per job) | full plan before (ms) "
        "| full plan with the jobs (ms) | cancellation of all jobs (ms) "
        "| cancel commands |"
    )
    print("|" + " --- |" * 6)
    for count in JOB_COUNTS:
        measure(count)


if __name__ == "__main__":
    main()
