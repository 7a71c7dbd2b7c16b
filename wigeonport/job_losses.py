"""Why jobs were late, refused or lost, by queue and over time."""

import collections

from wigeonport.batch_jobs import CANCELLED, FAILED
from wigeonport.registries import Registry

causes = Registry("cause of a loss")

# Share of the allowed time from which a wait counts as the cause of a delay.
WAIT_SHARE = 0.25
BAR_WIDTH = 40
HTTP_UNKNOWN = 504


def find_cause(job, gaps):
    """Returns the name of the first cause that holds for a job, or "".

    Args:
        job: JobHistory.
        gaps: Pairs of start and end of the times without a leader, in ms.
    """
    for name, holds in causes.entries.items():
        if holds(job, gaps):
            return name
    return ""


def is_late(job):
    """Returns whether a job ended after its objective."""
    return job.ended_ms is not None and 0 < job.allowed_ms < job.age_ms


@causes.register("unanswered")
def is_unanswered(job, gaps):
    """No acceptance is logged, and the caller may not know the outcome."""
    return job.accepted_ms is None and HTTP_UNKNOWN in job.statuses


@causes.register("refused")
def is_refused(job, gaps):
    """Every attempt to submit it was refused."""
    return job.accepted_ms is None and bool(job.statuses)


@causes.register("unfinished")
def is_unfinished(job, gaps):
    """It was accepted, and its end is not in the logs."""
    if job.accepted_ms is None or job.cancelled:
        return False
    return job.ended_ms is None


@causes.register("failed")
def is_failed(job, gaps):
    """It has used up its attempts."""
    return job.state == FAILED


@causes.register("late: no leader")
def waited_for_leader(job, gaps):
    """It is late, and no leader decided for much of the time until a start."""
    if not is_late(job) or job.sent_ms is None:
        return False
    until_ms = job.started_ms or job.ended_ms
    waited_ms = sum(
        max(0, min(end_ms, until_ms) - max(start_ms, job.sent_ms))
        for start_ms, end_ms in gaps
    )
    return waited_ms > WAIT_SHARE * job.allowed_ms


@causes.register("late: failed runs")
def had_failed_runs(job, gaps):
    """It is late, and some of its runs had to be repeated."""
    return is_late(job) and job.failed_runs > 0


@causes.register("late: no room")
def waited_for_room(job, gaps):
    """It is late, and its first task waited for a worker."""
    if not is_late(job) or job.started_ms is None or job.accepted_ms is None:
        return False
    waited_ms = job.started_ms - job.accepted_ms
    return waited_ms > WAIT_SHARE * job.allowed_ms


@causes.register("late: later tasks")
def waited_later(job, gaps):
    """It is late, though its first task started soon."""
    return is_late(job)


def count_losses(summary):
    """Returns a dict from queue to a Counter of the causes of its losses.

    The Counter also has the number of jobs, as ``jobs``. Cancelled jobs are
    left out. Queues are named by the path prefix.
    """
    table = collections.defaultdict(collections.Counter)
    for job in summary.jobs.values():
        if job.path and job.state != CANCELLED:
            table[job.path]["jobs"] += 1
            cause = find_cause(job, summary.gaps)
            if cause:
                table[job.path][cause] += 1
    return {path: table[path] for path in sorted(table)}


def render_table(table):
    """Returns the lines of a table of losses by queue."""
    columns = ["jobs"] + [
        name
        for name in causes.entries
        if any(counter[name] for counter in table.values())
    ]
    widths = [max(len(name), 6) for name in columns]
    first = max([len(path) for path in table] + [5])
    lines = [format_row("queue", columns, first, widths)]
    for path, counter in table.items():
        values = [counter[name] for name in columns]
        lines.append(format_row(path, values, first, widths))
    return lines


def format_row(label, values, first, widths):
    """Returns a row of a table; the first column is aligned to the left."""
    cells = [
        f"{value!s:>{width}}"
        for value, width in zip(values, widths, strict=True)
    ]
    return "  ".join([f"{label:<{first}}", *cells])


def render_plot(summary, interval_ms):
    """Returns lines with a bar for each interval of the time that was read.

    A bar shows the jobs submitted in the interval: ``#`` those with a loss,
    ``.`` the others. ``L`` marks intervals in which no leader decided.
    """
    jobs = [job for job in summary.jobs.values() if job.sent_ms is not None]
    if not jobs:
        return []
    start_ms = min(job.sent_ms for job in jobs)
    slots = collections.defaultdict(lambda: [0, 0])
    for job in jobs:
        slot = slots[(job.sent_ms - start_ms) // interval_ms]
        slot[bool(find_cause(job, summary.gaps))] += 1
    scale = max(1, max(sum(slot) for slot in slots.values()) / BAR_WIDTH)
    lines = []
    for number in range(max(slots) + 1):
        good, lost = slots[number]
        from_ms = start_ms + number * interval_ms
        mark = (
            "L" if is_leaderless(summary.gaps, from_ms, interval_ms) else " "
        )
        bar = "#" * round(lost / scale) + "." * round(good / scale)
        seconds = number * interval_ms / 1_000
        lines.append(f"{seconds:8.1f} s {mark} {good + lost:5} {lost:5} {bar}")
    return lines


def is_leaderless(gaps, from_ms, interval_ms):
    """Returns whether no leader decided in most of an interval."""
    return any(
        min(end_ms, from_ms + interval_ms) - max(start_ms, from_ms)
        > interval_ms / 2
        for start_ms, end_ms in gaps
    )
