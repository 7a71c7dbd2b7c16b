"""Client of the operators' HTTP interface."""

import json
import math

import httpcore
import trio

from wigeonport.records import Record

ANSWERED = "answered"
NOT_RUN = "not-run"
UNKNOWN = "unknown"

# Statuses of answers that the replicated state decided.
DECIDED = (200, 409, 422)
UNDELIVERED = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
    httpcore.UnsupportedProtocol,
)
LOST = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    OSError,
)
CONNECT_TIMEOUT_MS = 2_000
# A lost leader is replaced within 3 s.
DEFAULT_RETRY_MS = 4_000
PAUSE_MS = 250


class Answer(Record):
    """What became of a request.

    Attributes:
        outcome: ``answered``, ``not-run`` or ``unknown``.
        status: HTTP status of the answer, else 0.
        document: Document of the answer, else an empty one.
        reasons: Why the servers gave no answer, one text for each attempt.
    """

    __slots__ = ("outcome", "status", "document", "reasons")

    def __init__(self, outcome, status=0, document=None, reasons=()):
        self.outcome = outcome
        self.status = status
        self.document = {} if document is None else document
        self.reasons = list(reasons)


class Course:
    """What the attempts at one request have shown so far.

    Once an outcome is unknown, only an answer that the replicated state
    decided resolves it: another server cannot know that the first one did
    not run the request.

    Attributes:
        reasons: Why servers gave no answer, without repetitions.
        unknown: Whether an attempt may have taken effect.
        busy: Whether a server answered that it ran nothing.
        document: Document of the last such answer.
    """

    __slots__ = ("reasons", "unknown", "busy", "document")

    def __init__(self):
        self.reasons = []
        self.unknown = False
        self.busy = False
        self.document = {}

    def ends_with(self, server, answer):
        """Takes an Answer; returns whether it is the final one."""
        decided = answer.status in DECIDED
        if answer.outcome == ANSWERED and (decided or not self.unknown):
            answer.reasons = self.reasons
            return True
        self.unknown = self.unknown or answer.outcome == UNKNOWN
        if answer.document:
            self.busy, self.document = True, answer.document
        for text in answer.reasons:
            line = f"{server}: {text}"
            if line not in self.reasons:
                self.reasons.append(line)
        return False

    def conclude(self, method):
        """Returns the Answer when no server has given a final one."""
        if self.unknown and method != "GET":
            return Answer(UNKNOWN, reasons=self.reasons)
        return Answer(NOT_RUN, 0, self.document, self.reasons)


class OperatorClient:
    """Sends requests to several control programs in turn.

    A request that changes something carries an id of its own or sets a
    state, so that sending it again to another control is safe.

    Attributes:
        servers: Addresses, ``host:port``.
        token: Bearer token.
        timeout_ms: Longest wait for one server.
        retry_ms: How long the servers are tried again while one of them
            answers that it ran nothing.
    """

    __slots__ = ("servers", "token", "timeout_ms", "retry_ms")

    def __init__(self, servers, token, timeout_ms, retry_ms=DEFAULT_RETRY_MS):
        self.servers = servers
        self.token = token
        self.timeout_ms = timeout_ms
        self.retry_ms = retry_ms

    def call(self, method, path, document=None):
        """Returns the Answer of the first server that decides."""
        return trio.run(self.request, method, path, document)

    async def request(self, method, path, document=None):
        """Tries the servers in turn; see ``call``.

        While a server answers that it ran nothing, for example because the
        leader is being replaced, all are tried again for some seconds.
        """
        body = b"" if document is None else json.dumps(document).encode()
        course = Course()
        ends_s = trio.current_time() + self.retry_ms / 1000
        while True:
            course.busy = False
            for server in self.servers:
                answer = await self.attempt(server, method, path, body)
                if course.ends_with(server, answer):
                    return answer
            if not course.busy or trio.current_time() >= ends_s:
                return course.conclude(method)
            await trio.sleep(PAUSE_MS / 1000)

    async def attempt(self, server, method, path, body):
        """Returns the Answer of one server."""
        limit_s = (self.timeout_ms + CONNECT_TIMEOUT_MS) / 1000
        with trio.move_on_after(limit_s):
            try:
                return await self.exchange(server, method, path, body)
            except UNDELIVERED as fault:
                return Answer(NOT_RUN, reasons=[describe_error(fault)])
            except LOST as fault:
                return Answer(UNKNOWN, reasons=[describe_error(fault)])
        return Answer(UNKNOWN, reasons=[f"no answer within {limit_s:g} s"])

    async def exchange(self, server, method, path, body):
        """Sends one request and returns the Answer.

        Raises:
            Exception: What httpcore raises for a failed exchange.
        """
        headers = {
            "Host": server,
            "Authorization": f"Bearer {self.token}",
            "Content-Type": "application/json",
            "Content-Length": str(len(body)),
        }
        timeout = {
            "connect": CONNECT_TIMEOUT_MS / 1000,
            "read": self.timeout_ms / 1000,
            "write": self.timeout_ms / 1000,
        }
        async with httpcore.AsyncConnectionPool() as pool:
            response = await pool.request(
                method,
                f"http://{server}{path}",
                headers=headers,
                content=body,
                extensions={"timeout": timeout},
            )
        return read_answer(response.status, response.content)


def read_answer(status, content):
    """Returns the Answer in a response."""
    try:
        document = json.loads(content)
    except (ValueError, RecursionError):
        document = None
    if not isinstance(document, dict):
        text = f"status {status} without a JSON document"
        outcome = UNKNOWN if status < 400 or status >= 500 else NOT_RUN
        return Answer(outcome, reasons=[text])
    reason = document.get("reason") or f"status {status}"
    if document.get("outcome") == UNKNOWN:
        return Answer(UNKNOWN, reasons=[reason])
    if status == 503:
        return Answer(NOT_RUN, 0, document, [reason])
    if status >= 500:
        return Answer(UNKNOWN, reasons=[reason])
    return Answer(ANSWERED, status, document)


async def fetch(url, timeout_ms):
    """Returns status and body of a GET.

    Raises:
        Exception: What httpcore raises for a failed exchange.
        trio.TooSlowError: After the timeout.
    """
    with trio.fail_after(timeout_ms / 1000):
        async with httpcore.AsyncConnectionPool() as pool:
            response = await pool.request("GET", url)
            return response.status, response.content


def describe_error(fault):
    """Returns a short text for a failed exchange."""
    text = str(fault) or type(fault).__name__
    return text.splitlines()[0]


def parse_server(text):
    """Returns ``host:port`` if the text has this form, else None."""
    host, _, port = text.removeprefix("http://").rstrip("/").rpartition(":")
    good = port.isascii() and port.isdigit() and 0 < int(port) < 65_536
    if not host or not good or any(c in host for c in "/@?# "):
        return None
    return f"{host}:{port}"


def parse_whole_number(text):
    """Returns a whole number, or None if the text is not one."""
    if text is None or not (text.isascii() and text.isdigit()):
        return None
    value = int(text) if len(text) < 17 else math.inf
    return value if value <= 2**53 else None
