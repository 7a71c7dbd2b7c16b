"""Callers: make requests, send them to entries and check what they get."""

import json
import time

import httpcore
import trio

from wigeonport.registries import Registry

shapes = Registry("shape of a request")

OUTCOME = b"wigeonport-outcome"
REASON = b"wigeonport-reason"
CALLER_MARGIN_MS = 3_000
LARGEST_DELAY_MS = 40
SIZES_BYTES = (0, 200, 2_000, 20_000)
DEADLINES_MS = (1_000, 3_000, 5_000)
FAILURES = ("close", "short", "foreign")
MAX_SENDS = 4
MAX_UNREACHABLE = 20
WHOLE, PARTIAL, FOREIGN, ABSENT = "whole", "partial", "foreign", "absent"
NO_OUTCOME = "none"
ABANDONED = "abandoned"


class CallerOptions:
    """What the requests are like.

    Attributes:
        entries: Addresses ``host:port`` of the callers' ports.
        keyed_share: Share of requests with an Idempotency-Key.
        post_share: Share of POST requests without a key.
        resend_share: Share of completed keyed requests sent once more.
        fail_share: Share of requests that make the endpoint fail.
        delay_ms: Largest run time of a request.
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
        delay_ms=LARGEST_DELAY_MS,
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
        tag: Unique; the endpoint puts it into its response.
        key: Idempotency key, or an empty text.
        service: Service that is called.
        method: HTTP method.
        headers: Pairs of header name and value.
        body: Body that is sent.
        size_bytes: Least length of the response's body.
        deadline_ms: Deadline that the caller states.
        again: Whether a completed keyed request is sent once more.
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
        "again",
    )

    def __init__(self, tag, service, random, options):
        self.tag = tag
        self.key = ""
        self.service = service
        self.method = "GET"
        self.body = b""
        self.size_bytes = random.choice(SIZES_BYTES)
        self.deadline_ms = random.choice(DEADLINES_MS)
        self.again = random.random() < options.resend_share
        self.headers = [
            ("host", "callers"),
            ("x-tag", tag),
            ("x-size", str(self.size_bytes)),
            ("x-delay-ms", str(random.randint(0, options.delay_ms))),
            ("wigeonport-deadline-ms", str(self.deadline_ms)),
        ]
        if random.random() < options.fail_share:
            self.headers.append(("x-fail", random.choice(FAILURES)))


class Sent:
    """What the caller was told about one sending of a Call.

    Attributes:
        call: The Call.
        entry: Address of the entry.
        sent_ms: Wall time at the start.
        ended_ms: Wall time at the end.
        status: HTTP status, or 0.
        outcome: Value of the outcome header, NO_OUTCOME, or ABANDONED if the
            caller itself closed the connection.
        reason: Reason of the entry, or what went wrong on the way.
        check: WHOLE, PARTIAL, FOREIGN or ABSENT.
        number: 1 for the first sending of the Call.
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
        """Returns the JSON line of the callers' log."""
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
    """A request that may be repeated."""


@shapes.register("post")
def shape_post(call):
    """A request that must not be repeated and has no key."""
    call.method = "POST"
    call.body = json.dumps({"tag": call.tag}).encode()


@shapes.register("keyed")
def shape_keyed(call):
    """A request that must not be repeated and has a key."""
    shape_post(call)
    call.key = f"key-{call.tag}"
    call.headers.append(("idempotency-key", call.key))


def make_call(tag, service, random, options):
    """Returns a Call of a random shape."""
    call = Call(tag, service, random, options)
    plain = 1 - options.keyed_share - options.post_share
    weights = {
        "get": plain,
        "post": options.post_share,
        "keyed": options.keyed_share,
    }
    name = random.choices(list(weights), list(weights.values()))[0]
    shapes.get(name).ok(call)
    call.headers.append(("content-length", str(len(call.body))))
    return call


def check_body(call, body):
    """Returns whether a body is the whole response to this call."""
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
        The Sent, or None if the entry accepts no connection; the platform's
        balancer turns to another entry then.
    """
    sent = Sent(call, entry, number)
    url = f"http://{entry}/{call.service}/work"
    timeout_ms = call.deadline_ms + CALLER_MARGIN_MS
    try:
        with trio.fail_after(timeout_ms / 1_000):
            response = await pool.request(
                call.method, url, headers=call.headers, content=call.body
            )
        read_response(sent, response)
    except (httpcore.ConnectError, httpcore.ConnectTimeout):
        return None
    except trio.TooSlowError:
        sent.reason = "no response"
    except (
        httpcore.NetworkError,
        httpcore.ProtocolError,
        httpcore.TimeoutException,
    ) as fault:
        sent.reason = f"{type(fault).__name__}: {fault}"
        if is_local(fault):
            sent.outcome = ABANDONED
    sent.ended_ms = time.time_ns() // 1_000_000
    return sent


def is_local(fault):
    """Returns whether this side closed the connection.

    The connection pool sometimes closes a connection that a request has just
    been given; the entry has no part in that.
    """
    while fault is not None:
        if isinstance(fault, trio.ClosedResourceError):
            return True
        fault = fault.__cause__ or fault.__context__
    return False


def read_response(sent, response):
    """Fills in what the response says."""
    headers = dict(response.headers)
    headers = {name.lower(): value for name, value in headers.items()}
    sent.status = response.status
    sent.outcome = headers.get(OUTCOME, NO_OUTCOME.encode()).decode()
    sent.reason = headers.get(REASON, b"").decode("latin-1")
    if sent.outcome == "completed":
        sent.check = check_body(sent.call, response.content)


def wants_resend(sent):
    """Returns whether a caller sends its request once more.

    Only a key makes a second sending safe, so only keyed requests are sent
    again. Each goes through another entry.
    """
    call = sent.call
    if not call.key or sent.number >= MAX_SENDS:
        return False
    if sent.outcome == "completed":
        return call.again and sent.number == 1
    return True


async def perform(pool, call, random, options, report):
    """Sends a call until its outcome is known; reports each sending."""
    number, last, unreachable = 1, None, 0
    while True:
        others = [entry for entry in options.entries if entry != last]
        last = random.choice(others or options.entries)
        sent = await send_once(pool, call, last, number)
        if sent is None:
            unreachable += 1
            if unreachable > MAX_UNREACHABLE:
                return
            continue
        number += 1
        await report(sent)
        if not wants_resend(sent):
            return
        await trio.sleep(0.1 * number)
