"""Emulated workers and clients that speak the platform's protocol.

They stand in for the platform in tests, benchmarks and the fault soak. From
what the workers see, a RunChecker checks the guarantees on runs of tasks.
"""

import json
import secrets
import time

import httpcore
import trio

HEARTBEAT_TIMEOUT_S = 1.0
CALL_TIMEOUT_S = 3.0
MAX_REDIRECTS = 2
CALL_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    trio.TooSlowError,
)


class RunChecker:
    """Checks the guarantees on the runs of all workers.

    A task never has two live runs, and does not start again once a run of
    it is done or its job is cancelled.

    Attributes:
        live: Maps the task of each live run to the id of its worker.
        done: Tasks of which a run has ended with outcome ``done``.
        cancelled: Maps a job id to the monotonic time, in s, at which its
            cancellation was acknowledged.
        starts: Number of runs that were started.
        violations: Texts of the violated guarantees.
    """

    __slots__ = ("live", "done", "cancelled", "starts", "violations")

    # Time after an acknowledged cancellation in which a task of the job may
    # still start.
    CANCEL_GRACE_S = 3.0

    def __init__(self):
        self.live = {}
        self.done = set()
        self.cancelled = {}
        self.starts = 0
        self.violations = []

    def record_start(self, task, run, worker):
        """Checks and records the start of a run."""
        self.starts += 1
        if task in self.live:
            other = self.live[task]
            self.violations.append(
                f"task {task} runs on {other} and {worker} at once"
            )
        if task in self.done:
            self.violations.append(
                f"task {task} starts run {run} although it is done"
            )
        cancelled = self.cancelled.get(task.partition(".")[0])
        if cancelled is not None and (
            time.monotonic() - cancelled > self.CANCEL_GRACE_S
        ):
            self.violations.append(
                f"task {task} starts more than {self.CANCEL_GRACE_S} s after "
                "its job was cancelled"
            )
        self.live[task] = worker

    def record_end(self, task, worker, outcome):
        """Records the end of a run."""
        if self.live.get(task) == worker:
            del self.live[task]
        if outcome == "done":
            self.done.add(task)


async def exchange(
    method, url, document=None, headers=(), timeout_s=1.0, pool=None
):
    """Calls a URL and follows redirects; returns (status, document).

    Args:
        method: HTTP method.
        url: URL of the call.
        document: Body that is sent as JSON, or None.
        headers: Pairs of further headers.
        timeout_s: Timeout of each request, in s.
        pool: httpcore pool; without one, each call opens a connection.

    Raises:
        CALL_ERRORS: One of these errors, if there is no answer.
    """
    if pool is None:
        async with httpcore.AsyncConnectionPool() as own:
            return await exchange(
                method, url, document, headers, timeout_s, own
            )
    content = None if document is None else json.dumps(document).encode()
    head = [("Content-Type", "application/json"), *headers]
    for _ in range(MAX_REDIRECTS + 1):
        with trio.fail_after(timeout_s):
            response = await pool.request(
                method, url, headers=head, content=content
            )
        if response.status != 307:
            break
        url = dict(response.headers)[b"Location".lower()].decode()
    body = json.loads(response.content) if response.content else {}
    return response.status, body


class Run:
    """A live run of a task.

    Attributes:
        number: Run number.
        started: Monotonic time of its start, in s.
        duration_s: Its duration, or None for a long-running task.
    """

    __slots__ = ("number", "started", "duration_s")

    def __init__(self, number, duration_s):
        self.number = number
        self.started = time.monotonic()
        self.duration_s = duration_s

    def percent(self):
        """Returns its progress in percent."""
        if self.duration_s is None:
            return 100
        age_s = time.monotonic() - self.started
        return min(99, int(100 * age_s / self.duration_s))


class EmulatedWorker:
    """One worker of a service.

    Attributes:
        worker_id: Its id.
        service: Name of its service.
        controls: Addresses of the controls.
        checker: RunChecker.
        random: Source of the random durations and choices.
        runs: Maps the task of each live run to its Run.
        unacknowledged_ends: Rows of the ends of runs that no answer has
            acknowledged yet, as a heartbeat lists them.
        started_ms: Wall time of the last start of the worker, in ms;
            identifies its incarnation.
        clock_start: Monotonic time of that start, in s.
        sequence: Number of the last heartbeat of this incarnation.
        end_number: Number of the last end of this incarnation.
        released_end: Number of the last end before the lease expired last.
        fence: Highest fencing number of an answer so far.
        lease_until: Monotonic time, in s, at which all runs are killed.
        target: Address to which the next heartbeat is sent.
        last_runs: Maps a task to the highest run number that was started
            or stopped.
        wait_s: Time until the next heartbeat, in s.
        answers_lost: Whether the answers to heartbeats get lost.
        pool: httpcore pool that keeps connections open, or None.
    """

    __slots__ = (
        "worker_id",
        "service",
        "controls",
        "checker",
        "random",
        "runs",
        "unacknowledged_ends",
        "started_ms",
        "clock_start",
        "sequence",
        "end_number",
        "released_end",
        "fence",
        "lease_until",
        "target",
        "last_runs",
        "wait_s",
        "answers_lost",
        "pool",
    )

    def __init__(self, worker_id, service, controls, checker, random):
        self.worker_id = worker_id
        self.service = service
        self.controls = controls
        self.checker = checker
        self.random = random
        self.target = random.choice(controls)
        self.answers_lost = False
        self.pool = None
        self.reset_state()

    def reset_state(self):
        """Begins a new incarnation without any state of the last one."""
        self.runs = {}
        self.unacknowledged_ends = []
        self.started_ms = time.time_ns() // 1_000_000
        self.clock_start = time.monotonic()
        self.sequence = 0
        self.end_number = 0
        self.released_end = 0
        self.fence = 0
        self.lease_until = 0.0
        self.last_runs = {}
        self.wait_s = 0.1

    def crash(self):
        """Ends this incarnation; its runs and unacknowledged ends are lost.

        A task whose end is lost may start again, since no control has
        recorded the end.
        """
        for _, task, _, outcome, _ in self.unacknowledged_ends:
            if outcome == "done":
                self.checker.done.discard(task)
        for task in list(self.runs):
            self.checker.record_end(task, self.worker_id, "crashed")
        self.reset_state()

    async def run(self):
        """Sends heartbeats until cancelled."""
        while True:
            self.end_due_runs()
            try:
                await self.send_heartbeat()
            except CALL_ERRORS:
                self.target = self.random.choice(self.controls)
                self.wait_s = 0.1
            await trio.sleep(self.wait_s)

    def end_due_runs(self):
        """Ends the runs that are done; ends all once the lease has expired."""
        now = time.monotonic()
        lease_expired = now >= self.lease_until
        for task, run in list(self.runs.items()):
            # A run that the lease has ended is not done, although this task
            # may be late to notice.
            until = min(now, self.lease_until)
            is_done = run.duration_s is not None and (
                until - run.started >= run.duration_s
            )
            if is_done:
                self.end(task, run.number, "done")
            elif lease_expired:
                self.end(task, run.number, "lapsed")
        if lease_expired:
            self.release_ends()

    def release_ends(self):
        """Lets tasks start again whose end no answer has acknowledged.

        Once the lease has expired, a control may start the task elsewhere,
        whether or not it hears of the end later.
        """
        for number, task, _, outcome, _ in self.unacknowledged_ends:
            if number > self.released_end and outcome == "done":
                self.checker.done.discard(task)
        self.released_end = self.end_number

    def end(self, task, number, outcome):
        """Ends a run and lists its end for the next heartbeat."""
        self.runs.pop(task, None)
        self.end_number += 1
        self.unacknowledged_ends.append(
            [self.end_number, task, number, outcome, ""]
        )
        self.checker.record_end(task, self.worker_id, outcome)

    def report(self):
        """Returns the document of the next heartbeat."""
        self.sequence += 1
        return {
            "service": self.service,
            "address": "127.0.0.1:1",
            "zone": "ikeja",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold-remaining-ms": 0,
            "capacity": {"cpu": 8_000, "mem-mb": 16_000, "gpu": 0},
            "labels": ["a", "r1"],
            "machine": f"m-{self.worker_id}",
            "born": self.started_ms,
            "clock-ms": int((time.monotonic() - self.clock_start) * 1000),
            "seq": self.sequence,
            "running": [
                [task, run.number, "", run.percent(), 0]
                for task, run in self.runs.items()
            ],
            "ended": self.unacknowledged_ends[:500],
        }

    async def send_heartbeat(self):
        """Sends one heartbeat and applies the answer.

        An answer that is late, lost or for an earlier incarnation is
        ignored.
        """
        sent, started_ms = time.monotonic(), self.started_ms
        status, answer = await exchange(
            "PUT",
            f"http://{self.target}/v1/instances/{self.worker_id}",
            self.report(),
            timeout_s=HEARTBEAT_TIMEOUT_S,
            pool=self.pool,
        )
        late = time.monotonic() - sent > HEARTBEAT_TIMEOUT_S
        if (
            status != 200
            or late
            or self.answers_lost
            or started_ms != self.started_ms
        ):
            self.target = self.random.choice(self.controls)
            return
        self.target = answer.get("heartbeat-url", self.target)
        self.apply_answer(answer, sent)

    def apply_answer(self, answer, sent):
        """Applies the answer to a heartbeat.

        The lease begins at ``sent``, the monotonic time, in s, at which the
        heartbeat was sent. An answer without a lease, or with a lower
        fencing number than an earlier one, only sets the time of the next
        heartbeat.
        """
        self.wait_s = answer.get("retry-after-ms", 500) / 1000
        if "hold-ms" not in answer or answer["fence"] < self.fence:
            return
        self.fence = answer["fence"]
        until = sent + answer["hold-ms"] / 1000
        self.lease_until = max(self.lease_until, until)
        acknowledged_through = answer.get("acked-through", 0)
        self.unacknowledged_ends = [
            row
            for row in self.unacknowledged_ends
            if row[0] > acknowledged_through
        ]
        for task, number in answer.get("stop", ()):
            self.last_runs[task] = max(self.last_runs.get(task, 0), number)
            if task in self.runs and self.runs[task].number == number:
                self.end(task, number, "stopped")
        for task, number, payload, *_ in answer.get("start", ()):
            self.start(task, number, payload)

    def start(self, task, number, payload):
        """Starts a run unless a run with this or a higher number was known.

        Args:
            task: Id of the task, which begins with the id of its job.
            number: Run number; later runs of a task have higher numbers.
            payload: Text of the job; ``lasting`` makes a run without end.
        """
        if number <= self.last_runs.get(task, 0):
            return
        self.last_runs[task] = number
        self.checker.record_start(task, number, self.worker_id)
        long_running = payload.startswith("lasting")
        duration_s = None if long_running else self.random.uniform(0.1, 0.8)
        self.runs[task] = Run(number, duration_s)


class Client:
    """Submits jobs and reads their states.

    Attributes:
        fronts: Addresses of the fronts.
        host: Host name of the route.
        prefix: Path prefix of the route.
        random: Source of the choice of a front.
        accepted: Ids of the accepted jobs.
        refused: Number of submissions that were refused or not answered.
    """

    __slots__ = ("fronts", "host", "prefix", "random", "accepted", "refused")

    def __init__(self, fronts, host, prefix, random):
        self.fronts = fronts
        self.host = host
        self.prefix = prefix
        self.random = random
        self.accepted = []
        self.refused = 0

    async def call(self, method, job_id, document=None):
        """Returns the status and document of an answer, or None."""
        front = self.random.choice(self.fronts)
        headers = [("Host", self.host), ("X-Deadline-Ms", "3000")]
        url = f"http://{front}{self.prefix}{job_id}"
        try:
            return await exchange(
                method, url, document, headers, CALL_TIMEOUT_S
            )
        except CALL_ERRORS:
            return None

    async def submit(self, steps, payload="timed", tries=12):
        """Submits a job until it is accepted; returns its id or None."""
        job_id = secrets.token_hex(8)
        document = {"spec": payload, "steps": steps}
        for _ in range(tries):
            answer = await self.call("POST", job_id, document)
            if answer is not None and answer[0] == 200:
                self.accepted.append(job_id)
                return job_id
            self.refused += 1
            await trio.sleep(0.3)
        return None

    async def state(self, job_id):
        """Returns the state of a job, or None without a usable answer."""
        answer = await self.call("GET", job_id)
        if answer is None or answer[0] not in (200, 410):
            return None
        return answer[1].get("state", "unknown")
