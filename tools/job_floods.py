"""Crowds that submit complete jobs of legal size, for tests and runs by hand.

Each form is one kind of job that the front accepts. The clients of a crowd
send their jobs one after the other, and either read each answer or none.
"""

import json

import trio
from client_floods import (
    READ_BYTES,
    SMALL_WINDOW_BYTES,
    Crowd,
    hold,
    job_path,
    make_head,
)

from wigeonport.registries import Registry

job_forms = Registry("form of a job")

# The limits of the front, or just below them.
MAX_TASKS = 10_000
MANY_STEPS = 250
SPEC_BYTES = 4_000
NAME_BYTES = 4_000
# Steps with names of that length that fit into 256 KiB.
LONG_STEPS = 60
HEAD_END = b"\r\n\r\n"
LENGTH_FIELD = b"content-length:"


class AnswerLostError(Exception):
    """The connection ended before the answer was complete."""


def make_job(spec, step, count):
    """Returns the body of a job with ``count`` equal steps."""
    return json.dumps({"spec": spec, "steps": [step] * count}).encode()


def make_step(count, **fields):
    """Returns a step of ``count`` small tasks."""
    return {
        "count": count,
        "cpu": 100,
        "mem-mb": 10,
        "estimated-ms": 100,
        **fields,
    }


@job_forms.register("many-tasks")
def make_many_tasks():
    """One step of the largest number of tasks."""
    return make_job("text", make_step(MAX_TASKS), 1)


@job_forms.register("many-steps")
def make_many_steps():
    """Nearly the largest number of steps and of tasks."""
    step = make_step(MAX_TASKS // MANY_STEPS)
    return make_job("text", step, MANY_STEPS)


@job_forms.register("single-tasks")
def make_single_tasks():
    """Nearly the largest number of steps, of one task each."""
    return make_job("text", make_step(1), MANY_STEPS)


@job_forms.register("long-texts")
def make_long_texts():
    """The longest text for the tasks, and names of the greatest length."""
    step = make_step(1, **{"required-label": "x" * NAME_BYTES})
    return make_job("y" * SPEC_BYTES, step, LONG_STEPS)


@job_forms.register("lasting-tasks")
def make_lasting_tasks():
    """One step of the largest number of tasks that run until cancelled."""
    step = make_step(MAX_TASKS, **{"long-running": True})
    return make_job("text", step, 1)


@job_forms.register("gangs")
def make_gangs():
    """One gang of the largest number of tasks."""
    return make_job("text", make_step(MAX_TASKS, gang=True), 1)


@job_forms.register("occurrences")
def make_occurrences():
    """A periodic job of which very many occurrences are due at once."""
    job = {
        "spec": "text",
        "steps": [make_step(1)] * 10,
        "repeat-count": 1_000_000,
        "first-ms": 1,
        "interval-ms": 1,
    }
    return json.dumps(job).encode()


class JobFlood:
    """Clients that each submit several jobs over one connection.

    Attributes:
        body: Body of each job.
        jobs: Number of jobs of each client.
        headers: Further lines of the head of each request.
        reads_answers: Whether the clients read the answers.
        cancels: Whether each accepted job is cancelled at once.
        told: Maps the path of each job to the status of its answer.
    """

    __slots__ = (
        "body",
        "jobs",
        "headers",
        "reads_answers",
        "cancels",
        "told",
    )

    def __init__(self, body, jobs, headers, reads_answers, cancels=False):
        self.body = body
        self.jobs = jobs
        self.headers = headers
        self.reads_answers = reads_answers
        self.cancels = cancels
        self.told = {}

    def gather_clients(self, address, clients):
        """Returns the Crowd of the clients."""
        return Crowd(self.play, address, clients)

    async def play(self, stream, ready):
        """Plays one client."""
        if not self.reads_answers:
            stream.socket.setsockopt(
                trio.socket.SOL_SOCKET,
                trio.socket.SO_RCVBUF,
                SMALL_WINDOW_BYTES,
            )
        try:
            for _ in range(self.jobs):
                await self.submit(stream)
        except AnswerLostError:
            return
        if not self.reads_answers:
            ready()
            await trio.sleep_forever()
        await hold(stream, ready)

    async def submit(self, stream):
        """Sends one job; reads the answer if it is to be read."""
        path = job_path()
        await self.send(stream, "POST", path, self.body)
        if not self.reads_answers:
            return
        status = await read_status(stream)
        self.told[path] = status
        if self.cancels and status == 200:
            await self.send(stream, "DELETE", path, b"")
            await read_status(stream)

    async def send(self, stream, method, path, body):
        """Sends a request."""
        length = f"Content-Length: {len(body)}"
        head = make_head(method, path, length, *self.headers)
        await stream.send_all(head + body)


async def read_status(stream):
    """Reads an answer and returns its status.

    Raises:
        AnswerLostError: If the connection ends before.
    """
    data = b""
    while HEAD_END not in data:
        data += await receive(stream)
    head, _, body = data.partition(HEAD_END)
    lengths = [
        int(line[len(LENGTH_FIELD) :])
        for line in head.lower().split(b"\r\n")
        if line.startswith(LENGTH_FIELD)
    ]
    left_bytes = sum(lengths) - len(body)
    while left_bytes > 0:
        left_bytes -= len(await receive(stream))
    return int(head.split(b" ", 2)[1])


async def receive(stream):
    """Returns the next bytes of a connection.

    Raises:
        AnswerLostError: If there are none.
    """
    data = await stream.receive_some(READ_BYTES)
    if not data:
        raise AnswerLostError
    return data
