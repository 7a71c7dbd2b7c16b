"""HTTP callers: make requests, send them to entries, check the responses.

A sending is one transmission of a request; a request may be sent repeatedly.
"""

import json
import time

import httpcore
import trio

from wigeonport.registries import Registry

shapes = Registry("shape of a request")

OUTCOME = b"wigeonport-outcome"
REASON = b"wigeonport-reason"
RESPONSE_MARGIN_MS = 3_000
MAX_DELAY_MS = 40
SIZES_BYTES = (0, 200, 2_000, 20_000)
DEADLINES_MS = (1_000, 3_000, 5_000)
FAILURES = ("close", "short", "foreign")
MAX_SENDS = 4
MAX_UNREACHABLE = 20
WHOLE, PARTIAL, FOREIGN, ABSENT = "whole", "partial", "foreign", "absent"
NO_OUTCOME = "none"
ABANDONED = "abandoned"


class CallerOptions:
    """Properties of the generated requests.

    Attributes:
        entries: Addresses ``host:port`` of the callers' ports.
        keyed_share: Share of requests with an Idempotency-Key.
        post_share: Share of POST requests without a key.
        resend_share: Share of requests that are sent once more after they
            completed, if they have a key.
        fail_share: Share of requests that ask the endpoint stand-in to fail.
        delay_ms: Maximum run time of a request at the endpoint.
    """

    __slots__ = (
        "entries",
        "keyed_share",
        "post_share",
        "resend_share",
        "fail_share",
        "delay_ms",
    )

    def __init__(
        self,
        entries,
        keyed_share=0.2,
        post_share=0.2,
        resend_share=0.1,
        fail_share=0.0,
        delay_ms=MAX_DELAY_MS,
    ):
        self.entries = entries
        self.keyed_share = keyed_share
        self.post_share = post_share
        self.resend_share = resend_share
        self.fail_share = fail_share
        self.delay_ms = delay_ms


class Call:
    """One request of a caller, which may be sent several times.

    Attributes:
        tag: Unique identifier that the endpoint returns in its response.
        key: Idempotency key, or an empty string.
        service: Id of the called service.
        method: HTTP method.
        headers: Pairs of header name and value.
        body: Body of the request.
        size_bytes: Minimum length of the response body.
        deadline_ms: Deadline that the request states, from its start.
        resend_completed: Whether the request is sent once more after it
            completed, if it has a key.
    """

    __slots__ = (
        "tag",
        "key",
        "service",
        "method",
        "headers",
        "body",
        "size_bytes",
        "deadline_ms",
        "resend_completed",
    )

    def __init__(self, tag, service, random, options):
        self.tag = tag
        self.key = ""
        self.service = service
        self.method = "GET"
        self.body = b""
        self.size_bytes = random.choice(SIZES_BYTES)
        self.deadline_ms = random.choice(DEADLINES_MS)
        self.resend_completed = random.random() < options.resend_share
        self.headers = [
            ("host", "callers"),
            ("x-tag", tag),
            ("x-size", str(self.size_bytes)),
            ("x-delay-ms", str(random.randint(0, options.delay_ms))),
            ("wigeonport-deadline-ms", str(self.deadline_ms)),
        ]
        if random.random() < options.fail_share:
            self.headers.append(("x-fail", random.choice(FAILURES)))


class Sending:
    """Result of one sending of a Call, as the caller saw it.

    Attributes:
        call: The Call.
        entry: Address of the entry.
        sent_ms: Wall-clock time at the start.
        ended_ms: Wall-clock time at the end.
        status: HTTP status, or 0 without a response.
        outcome: Value of the outcome header, NO_OUTCOME if there was none, or
            ABANDONED if the caller itself closed the connection.
        reason: Value of the reason header, or the connection error.
        check: WHOLE, PARTIAL or FOREIGN for the body of a completed request;
            otherwise ABSENT.
        number: Number of this sending, 1 for the first one of the Call.
    """

    __slots__ = (
        "call",
        "entry",
        "sent_ms",
        "ended_ms",
        "status",
        "outcome",
        "reason",
        "check",
        "number",
    )

    def __init__(self, call, entry, number):
        self.call = call
        self.entry = entry
        self.number = number
        self.sent_ms = time.time_ns() // 1_000_000
        self.ended_ms = self.sent_ms
        self.status = 0
        self.outcome = NO_OUTCOME
        self.reason = ""
        self.check = ABSENT

    def to_line(self):
        """Returns the result as a JSON line of the callers' log."""
        document = {
            "tag": self.call.tag,
            "key": self.call.key,
            "service": self.call.service,
            "method": self.call.method,
            **{
                name: getattr(self, name)
                for name in self.__slots__
                if name != "call"
            },
        }
        return json.dumps(document) + "\n"


@shapes.register("get")
def shape_get(call):
    """Leaves the call a GET, which may be repeated."""


@shapes.register("post")
def shape_post(call):
    """Makes the call a POST without a key, which must not be repeated."""
    call.method = "POST"
    call.body = json.dumps({"tag": call.tag}).encode()


@shapes.register("keyed")
def shape_keyed(call):
    """Makes the call a POST with an idempotency key."""
    shape_post(call)
    call.key = f"key-{call.tag}"
    call.headers.append(("idempotency-key", call.key))


def make_call(tag, service, random, options):
    """Returns a Call whose shape follows the shares of the options."""
    call = Call(tag, service, random, options)
    get_share = 1 - options.keyed_share - options.post_share
    weights = {
        "get": get_share,
        "post": options.post_share,
        "keyed": options.keyed_share,
    }
    name = random.choices(list(weights), list(weights.values()))[0]
    shapes.get(name).ok(call)
    call.headers.append(("content-length", str(len(call.body))))
    return call


def check_body(call, body):
    """Returns WHOLE, PARTIAL or FOREIGN for the body of a response.

    FOREIGN is a response to another request, by its tag.
    """
    try:
        tag = json.loads(body)["tag"]
    except (ValueError, KeyError, TypeError):
        return PARTIAL
    if tag != call.tag:
        return FOREIGN
    return WHOLE if len(body) >= call.size_bytes else PARTIAL


async def send_once(pool, call, entry, number):
    """Sends a call to one entry.

    Returns:
        The Sending, or None if the entry accepts no connection; a load
        balancer of the platform would choose another entry then.
    """
    sending = Sending(call, entry, number)
    url = f"http://{entry}/{call.service}/work"
    timeout_ms = call.deadline_ms + RESPONSE_MARGIN_MS
    try:
        with trio.fail_after(timeout_ms / 1_000):
            response = await pool.request(
                call.method, url, headers=call.headers, content=call.body
            )
        record_response(sending, response)
    except (httpcore.ConnectError, httpcore.ConnectTimeout):
        return None
    except trio.TooSlowError:
        sending.reason = "no response"
    except (
        httpcore.NetworkError,
        httpcore.ProtocolError,
        httpcore.TimeoutException,
    ) as error:
        sending.reason = f"{type(error).__name__}: {error}"
        if closed_by_caller(error):
            sending.outcome = ABANDONED
    sending.ended_ms = time.time_ns() // 1_000_000
    return sending


def closed_by_caller(error):
    """Returns whether the caller itself closed the connection.

    The connection pool sometimes closes a connection that it has just
    assigned to a request. The entry does not cause such a failure.
    """
    while error is not None:
        if isinstance(error, trio.ClosedResourceError):
            return True
        error = error.__cause__ or error.__context__
    return False


def record_response(sending, response):
    """Stores status, outcome, reason and body check of a response."""
    headers = dict(response.headers)
    headers = {name.lower(): value for name, value in headers.items()}
    sending.status = response.status
    sending.outcome = headers.get(OUTCOME, NO_OUTCOME.encode()).decode()
    sending.reason = headers.get(REASON, b"").decode("latin-1")
    if sending.outcome == "completed":
        sending.check = check_body(sending.call, response.content)


def should_resend(sending):
    """Returns whether the caller sends the request once more.

    Only an idempotency key makes a repeated sending safe, so only requests
    with a key are sent again, each time through another entry.
    """
    call = sending.call
    if not call.key or sending.number >= MAX_SENDS:
        return False
    if sending.outcome == "completed":
        return call.resend_completed and sending.number == 1
    return True


async def perform_call(pool, call, random, options, report):
    """Sends a call until no resend is due; reports each sending.

    Gives up after MAX_UNREACHABLE refused connections.

    Args:
        pool: HTTP connection pool.
        call: The Call.
        random: Source of random numbers.
        options: CallerOptions.
        report: Async function that receives each Sending.
    """
    number, last_entry, unreachable_count = 1, None, 0
    while True:
        other_entries = [
            entry for entry in options.entries if entry != last_entry
        ]
        last_entry = random.choice(other_entries or options.entries)
        sending = await send_once(pool, call, last_entry, number)
        if sending is None:
            unreachable_count += 1
            if unreachable_count > MAX_UNREACHABLE:
                return
            continue
        number += 1
        await report(sending)
        if not should_resend(sending):
            return
        await trio.sleep(0.1 * number)
