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


class OperatorClient:
    """Sends requests to several control programs in turn.

    A request that changes something carries an id of its own or sets a
    state, so that sending it again to another control is safe.

    Attributes:
        servers: Addresses, ``host:port``.
        token: Bearer token.
        timeout_ms: Longest wait for one server.
    """

    __slots__ = ("servers", "token", "timeout_ms")

    def __init__(self, servers, token, timeout_ms):
        self.servers = servers
        self.token = token
        self.timeout_ms = timeout_ms

    def call(self, method, path, document=None):
        """Returns the Answer of the first server that decides."""
        return trio.run(self.request, method, path, document)

    async def request(self, method, path, document=None):
        """Tries the servers in turn; see ``call``.

        Once an outcome is unknown, only an answer that the replicated state
        decided resolves it: another server cannot know that the first one
        did not run the request.
        """
        reasons, unknown, last = [], False, None
        body = b"" if document is None else json.dumps(document).encode()
        for server in self.servers:
            answer = await self.attempt(server, method, path, body)
            decided = answer.status in DECIDED
            if answer.outcome == ANSWERED and (decided or not unknown):
                answer.reasons = reasons
                return answer
            unknown = unknown or answer.outcome == UNKNOWN
            last = answer
            reasons += [f"{server}: {text}" for text in answer.reasons]
        if unknown and method != "GET":
            return Answer(UNKNOWN, reasons=reasons)
        document = last.document if last else {}
        return Answer(NOT_RUN, 0, document, reasons)

    async def attempt(self, server, method, path, body):
        """Returns the Answer of one server."""
        limit_s = (self.timeout_ms + CONNECT_TIMEOUT_MS) / 1000
        with trio.move_on_after(limit_s):
            try:
                return await self.exchange(server, method, path, body)
            except UNDELIVERED as fault:
                return Answer(NOT_RUN, reasons=[describe(fault)])
            except LOST as fault:
                return Answer(UNKNOWN, reasons=[describe(fault)])
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


def describe(fault):
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


def parse_whole(text):
    """Returns a whole number, or None if the text is not one."""
    if text is None or not (text.isascii() and text.isdigit()):
        return None
    value = int(text) if len(text) < 17 else math.inf
    return value if value <= 2**53 else None
