"""Client of the HTTP interface for operators."""

import json
import math

import httpcore
import trio

from wigeonport.records import Record

ANSWERED = "answered"
NOT_RUN = "not-run"
UNKNOWN = "unknown"

# HTTP statuses of answers that the replicated state decided.
DECIDED_STATUSES = (200, 409, 422)
# The request was not sent, so it had no effect.
NOT_SENT_ERRORS = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
    httpcore.UnsupportedProtocol,
)
# The request may have been sent, so it may have taken effect.
UNCERTAIN_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    OSError,
)
CONNECT_TIMEOUT_MS = 2_000
# Longer than the 3 s within which a failed leader is replaced.
DEFAULT_RETRY_MS = 4_000
RETRY_PAUSE_MS = 250


class Answer(Record):
    """Result of a request.

    Attributes:
        outcome: ``answered``, ``not-run`` or ``unknown``.
        status: HTTP status of the answer, else 0.
        document: JSON object of the answer, else an empty one.
        reasons: Texts that say why servers gave no answer.
    """

    __slots__ = ("outcome", "status", "document", "reasons")

    def __init__(self, outcome, status=0, document=None, reasons=()):
        self.outcome = outcome
        self.status = status
        self.document = {} if document is None else document
        self.reasons = list(reasons)


class RequestAttempts:
    """Results of the attempts at one request so far.

    Once the outcome of an attempt is unknown, only an answer that the
    replicated state decided is final: another server cannot know whether the
    first one ran the request.

    Attributes:
        reasons: Why servers gave no answer, without duplicates.
        unknown: Whether an attempt may have taken effect.
        may_retry: Whether a server answered in this round that it ran
            nothing, so that another round may succeed.
        document: JSON object of the last such answer.
    """

    __slots__ = ("reasons", "unknown", "may_retry", "document")

    def __init__(self):
        self.reasons = []
        self.unknown = False
        self.may_retry = False
        self.document = {}

    def record_answer(self, server, answer):
        """Records the Answer of a server; returns whether it is final."""
        decided = answer.status in DECIDED_STATUSES
        if answer.outcome == ANSWERED and (decided or not self.unknown):
            answer.reasons = self.reasons
            return True
        self.unknown = self.unknown or answer.outcome == UNKNOWN
        if answer.document:
            self.may_retry, self.document = True, answer.document
        for text in answer.reasons:
            reason = f"{server}: {text}"
            if reason not in self.reasons:
                self.reasons.append(reason)
        return False

    def make_final_answer(self, method):
        """Returns the Answer to report if no server gave a final one."""
        if self.unknown and method != "GET":
            return Answer(UNKNOWN, reasons=self.reasons)
        return Answer(NOT_RUN, 0, self.document, self.reasons)


class OperatorClient:
    """Sends requests to several control programs in turn.

    A request that changes the state carries an id or is idempotent, so it
    may be sent again to another control.

    Attributes:
        servers: Addresses, ``host:port``.
        token: Bearer token.
        timeout_ms: Maximum wait for the answer of one server.
        retry_ms: Time during which the servers are tried again while one of
            them answers that it ran nothing.
    """

    __slots__ = ("servers", "token", "timeout_ms", "retry_ms")

    def __init__(self, servers, token, timeout_ms, retry_ms=DEFAULT_RETRY_MS):
        self.servers = servers
        self.token = token
        self.timeout_ms = timeout_ms
        self.retry_ms = retry_ms

    def call(self, method, path, document=None):
        """Sends a request and returns the final Answer.

        Args:
            method: HTTP method.
            path: Path with the query.
            document: JSON object of the body, or None.
        """
        return trio.run(self.request, method, path, document)

    async def request(self, method, path, document=None):
        """Tries the servers in turn; see ``call``.

        While a server answers that it ran nothing, for example because the
        leader is being replaced, all are tried again for ``retry_ms``.
        """
        body = b"" if document is None else json.dumps(document).encode()
        attempts = RequestAttempts()
        deadline_s = trio.current_time() + self.retry_ms / 1000
        while True:
            attempts.may_retry = False
            for server in self.servers:
                answer = await self.attempt(server, method, path, body)
                if attempts.record_answer(server, answer):
                    return answer
            if not attempts.may_retry or trio.current_time() >= deadline_s:
                return attempts.make_final_answer(method)
            await trio.sleep(RETRY_PAUSE_MS / 1000)

    async def attempt(self, server, method, path, body):
        """Sends the request to one server and returns its Answer."""
        timeout_s = (self.timeout_ms + CONNECT_TIMEOUT_MS) / 1000
        with trio.move_on_after(timeout_s):
            try:
                return await self.exchange(server, method, path, body)
            except NOT_SENT_ERRORS as error:
                return Answer(NOT_RUN, reasons=[describe_error(error)])
            except UNCERTAIN_ERRORS as error:
                return Answer(UNKNOWN, reasons=[describe_error(error)])
        return Answer(UNKNOWN, reasons=[f"no answer within {timeout_s:g} s"])

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
    """Returns the Answer for the status and body of a response."""
    try:
        document = json.loads(content)
    except (ValueError, RecursionError):
        document = None
    if not isinstance(document, dict):
        text = f"status {status} without a JSON object"
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


def describe_error(error):
    """Returns the first line of an error's text, or the name of its type."""
    text = str(error) or type(error).__name__
    return text.splitlines()[0]


def parse_server(text):
    """Returns ``host:port`` if the text has this form, else None."""
    host, _, port = text.removeprefix("http://").rstrip("/").rpartition(":")
    port_is_valid = (
        port.isascii() and port.isdigit() and 0 < int(port) < 65_536
    )
    if (
        not host
        or not port_is_valid
        or any(character in host for character in "/@?# ")
    ):
        return None
    return f"{host}:{port}"


def parse_whole_number(text):
    """Returns a whole number of at most 2**53, or None if it is not one."""
    if text is None or not (text.isascii() and text.isdigit()):
        return None
    value = int(text) if len(text) < 17 else math.inf
    return value if value <= 2**53 else None
