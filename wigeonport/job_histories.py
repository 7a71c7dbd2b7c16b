"""Histories of batch jobs, rebuilt from the logs of entries and controls."""

import datetime
import json

from wigeonport.batch_calls import CANCEL, OK, SUBMIT
from wigeonport.registries import Registry

MAX_LINE_BYTES = 65_536

line_readers = Registry("reader of a log line")


class JobHistory:
    """What the logs say of one job. Times are wall times in ms.

    Attributes:
        job_id: Id of the job.
        path: Path prefix of its queue.
        queue: Name of its queue, or "" before its end.
        sent_ms: Arrival of the first submission at an entry or a control, or
            None.
        statuses: HTTP statuses of the answers to its submissions.
        accepted_ms: Time at which a leader accepted it, or None.
        started_ms: Time of the first order to start a task, or None.
        failed_runs: Number of its runs that failed.
        cancelled: Whether its caller has cancelled it.
        ended_ms: Time of its end, or None.
        state: State at its end, or "".
        age_ms: Time from its acceptance to its end.
        allowed_ms: Time that its objective allowed, or 0 if unknown.
    """

    __slots__ = (
        "job_id",
        "path",
        "queue",
        "sent_ms",
        "statuses",
        "accepted_ms",
        "started_ms",
        "failed_runs",
        "cancelled",
        "ended_ms",
        "state",
        "age_ms",
        "allowed_ms",
    )

    def __init__(self, job_id):
        self.job_id = job_id
        self.path = ""
        self.queue = ""
        self.sent_ms = None
        self.statuses = []
        self.accepted_ms = None
        self.started_ms = None
        self.failed_runs = 0
        self.cancelled = False
        self.ended_ms = None
        self.state = ""
        self.age_ms = 0
        self.allowed_ms = 0


class LogSummary:
    """The histories of all jobs, and the times without a leader.

    Attributes:
        jobs: Maps job id to JobHistory.
        decided_ms: Time of the last decision of a leader that was read.
        gaps: Pairs of start and end, in ms, of the times between the last
            decision of a leader and the start of the next one.
        unread: Number of lines that are no log lines.
    """

    __slots__ = ("jobs", "decided_ms", "gaps", "unread")

    def __init__(self):
        self.jobs = {}
        self.decided_ms = None
        self.gaps = []
        self.unread = 0

    def job(self, job_id):
        """Returns the JobHistory of a job, creating it if necessary."""
        return self.jobs.setdefault(job_id, JobHistory(job_id))


def read_log_lines(lines, summary):
    """Returns pairs of time and document of the lines that matter here.

    Text before the JSON object, as collectors of logs add it, is skipped.

    Args:
        lines: Iterable of texts.
        summary: LogSummary that counts the lines that can't be read.
    """
    entries = []
    for line in lines:
        document = parse_line(line)
        if document is None:
            summary.unread += bool(line.strip())
        elif document["message"] in line_readers.entries:
            entries.append((document["time"], document))
    return entries


def parse_line(line):
    """Returns the document of a log line with its time in ms, or None."""
    start = line.find("{")
    if start < 0 or len(line) > MAX_LINE_BYTES:
        return None
    try:
        document = json.loads(line[start:])
        time = datetime.datetime.fromisoformat(document["time"])
        document["time"] = int(time.timestamp() * 1_000)
    except (ValueError, KeyError, TypeError, RecursionError):
        return None
    return document if isinstance(document.get("message"), str) else None


def summarize_logs(entries, summary):
    """Adds log lines of all processes to a LogSummary.

    Args:
        entries: Pairs of time and document, of all processes together.
        summary: LogSummary.
    """
    for time_ms, document in sorted(entries, key=lambda entry: entry[0]):
        try:
            line_readers.entries[document["message"]](
                summary, time_ms, document
            )
        except (KeyError, TypeError, ValueError, AttributeError):
            summary.unread += 1


@line_readers.register("Request answered.")
def read_answer(summary, time_ms, document):
    """Records an entry's answer to a submission."""
    if document["method"] != "POST":
        return
    path, _, job_id = document["path"].rpartition("/")
    job = summary.job(job_id)
    job.path = path
    job.statuses.append(int(document["status"]))
    record_sending(job, time_ms - int(document["took_ms"]))


@line_readers.register("Batch call handled.")
def read_call(summary, time_ms, document):
    """Records the leader's decision on a call."""
    summary.decided_ms = time_ms
    if document["verb"] not in (SUBMIT, CANCEL):
        return
    path, _, job_id = document["path"].rpartition("/")
    job = summary.job(job_id)
    job.path = path
    if document["verb"] == CANCEL:
        job.cancelled = True
        return
    record_sending(job, time_ms)
    if document["outcome"] == OK and job.accepted_ms is None:
        job.accepted_ms = time_ms


def record_sending(job, sent_ms):
    """Records the time of a submission, if it is the first one."""
    if job.sent_ms is None or sent_ms < job.sent_ms:
        job.sent_ms = sent_ms


@line_readers.register("Run start ordered.")
def read_start(summary, time_ms, document):
    """Records the first start of a job."""
    summary.decided_ms = time_ms
    job = summary.job(document["task"].partition(".")[0])
    if job.started_ms is None:
        job.started_ms = time_ms


@line_readers.register("Run ended.")
def read_run_end(summary, time_ms, document):
    """Counts the failed runs of a job."""
    summary.decided_ms = time_ms
    if document["outcome"] == "failed":
        summary.job(document["task"].partition(".")[0]).failed_runs += 1


@line_readers.register("Job ended.")
def read_job_end(summary, time_ms, document):
    """Records the end of a job."""
    job = summary.job(document["job"])
    job.queue = document["queue"]
    job.state = document["state"]
    job.ended_ms = time_ms
    job.age_ms = int(document["age_ms"])
    job.allowed_ms = int(document.get("allowed_ms", 0))


@line_readers.register("Dispatching started.")
def read_new_leader(summary, time_ms, document):
    """Records the time without decisions before a new leader."""
    if summary.decided_ms is not None:
        summary.gaps.append((summary.decided_ms, time_ms))
    summary.decided_ms = time_ms
