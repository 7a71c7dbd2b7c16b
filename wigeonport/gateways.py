"""Forwards calls about batch jobs from an entry to the leading control."""

import trio

from wigeonport.batch_calls import (
    CANCEL,
    INVALID,
    NO_QUEUE,
    NOT_LEADING,
    REJECTED,
    SUBMIT,
    UNAUTHORIZED,
    UNKNOWN,
)
from wigeonport.channels import REFUSE, Mailbox
from wigeonport.logs import PartLogger
from wigeonport.send_windows import SendWindow

logger = PartLogger("gateway")

INBOX_BOUND = 1_024
# Timeout of one attempt; a change of leader is noticed within this time.
ATTEMPT_TIMEOUT_MS = 900
# Maximum search for a leader before a call that was not sent is refused:
# a quarter of the smallest latency objective, less a margin.
LEADER_SEARCH_MS = 600
RETRY_PAUSE_MS = 60
# Submissions under way to the leader; the largest takes 400 KiB. The leader
# holds this much for each entry while it is behind.
WINDOW_BYTES = 512 * 1024
# What a call takes beside its job.
CALL_BYTES = 512
# The leader counts as reachable for this time after an answer.
LEADER_REACHABLE_MS = 2_500
# Calls with an effect, and replies which say that it had none.
EFFECTIVE_VERBS = frozenset({SUBMIT, CANCEL})
REFUSALS = frozenset({INVALID, NO_QUEUE, REJECTED, UNAUTHORIZED})


class GatewayCall:
    """A BatchCall with its deadline; the reply is a GatewayAnswer.

    Attributes:
        call: BatchCall.
        deadline_ms: Monotonic time after which the caller discards an
            answer.
        reply: Reply channel.
    """

    __slots__ = ("call", "deadline_ms", "reply")

    def __init__(self, call, deadline_ms, reply):
        self.call = call
        self.deadline_ms = deadline_ms
        self.reply = reply


class GatewayAnswer:
    """The outcome of a GatewayCall.

    Attributes:
        reply: BatchReply of the leader, or None.
        sent: Whether a control may have received and handled the call.
    """

    __slots__ = ("reply", "sent")

    def __init__(self, reply, sent):
        self.reply = reply
        self.sent = sent


class Gateway:
    """Forwards calls to the control that is the leader.

    Attributes:
        links: PeerLinks to the controls.
        clock: Clock.
        metrics: Metrics.
        inbox: Mailbox of GatewayCalls.
        leader: Address of the last known leader, or "".
        leader_answered_ms: Monotonic time of the last answer of a leader, or
            None.
        window: SendWindow of the submissions.
        last_tried_index: Index of the control that was tried last while the
            leader was not known.
    """

    __slots__ = (
        "links",
        "clock",
        "metrics",
        "inbox",
        "leader",
        "leader_answered_ms",
        "window",
        "last_tried_index",
    )

    def __init__(self, links, clock, metrics):
        self.links = links
        self.clock = clock
        self.metrics = metrics
        self.inbox = Mailbox("gateway", INBOX_BOUND, REFUSE)
        self.leader = ""
        self.leader_answered_ms = None
        self.window = SendWindow(WINDOW_BYTES)
        self.last_tried_index = 0

    async def run(self):
        """Handles calls concurrently."""
        async with trio.open_nursery() as nursery:
            async for request in self.inbox:
                nursery.start_soon(self.handle, request)

    async def handle(self, request):
        """Forwards one call and replies with its outcome."""
        start_ms = self.clock.now()
        if request.call.verb == SUBMIT:
            answer = await self.submit(request, start_ms)
        else:
            answer = await self.call_leader(request, start_ms)
        request.reply.send(answer)
        self.metrics.record("gateway_call_ms", self.clock.now() - start_ms)

    async def submit(self, request, start_ms):
        """Forwards a submission once the window has room.

        One that finds no room in time has not been sent, so that its caller
        is told that it has not run.
        """
        size_bytes = CALL_BYTES + len(request.call.spec_json)
        until_ms = min(request.deadline_ms, start_ms + LEADER_SEARCH_MS)
        if not await self.window.acquire(size_bytes, until_ms - start_ms):
            self.metrics.count("gateway_refused_submissions")
            now_ms = self.clock.now()
            self.log_abandoned_call(request.call, False, start_ms, now_ms)
            return GatewayAnswer(None, False)
        try:
            return await self.call_leader(request, self.clock.now())
        finally:
            self.window.release(size_bytes)

    async def call_leader(self, request, start_ms):
        """Tries controls until the leader has answered or time runs out.

        A call that may have been sent is repeated until its deadline; one
        that was certainly not sent is given up after LEADER_SEARCH_MS.
        """
        sent = False
        search_until_ms = min(request.deadline_ms, start_ms + LEADER_SEARCH_MS)
        while True:
            now_ms = self.clock.now()
            if now_ms >= (request.deadline_ms if sent else search_until_ms):
                self.log_abandoned_call(request.call, sent, start_ms, now_ms)
                return GatewayAnswer(None, sent)
            host, dialer = self.choose_control()
            if dialer is None:
                await self.clock.sleep(RETRY_PAUSE_MS)
                continue
            timeout_ms = min(ATTEMPT_TIMEOUT_MS, request.deadline_ms - now_ms)
            answer = await dialer.ask(request.call, timeout_ms)
            if answer.is_error():
                sent = sent or answer.error.sent
                self.record_failure(host, request.call, answer.error)
                await self.clock.sleep(RETRY_PAUSE_MS)
                continue
            reply = answer.ok
            if reply.outcome == NOT_LEADING:
                await self.follow_redirect(host, reply.leader)
            elif reply.outcome == UNKNOWN:
                sent = True
                self.record_failure(host, request.call, reply.detail)
                await self.clock.sleep(RETRY_PAUSE_MS)
            else:
                self.leader = host
                self.leader_answered_ms = self.clock.now()
                if sent and is_refusal(request.call, reply):
                    # An earlier attempt may have had its effect before the
                    # routing table or the keys changed.
                    return GatewayAnswer(None, True)
                return GatewayAnswer(reply, True)

    def choose_control(self):
        """Returns address and dialer of the control to try.

        Without a connected control, the result is ("", None).
        """
        dialers = self.links.dialers
        leader_dialer = dialers.get(self.leader)
        if leader_dialer is not None and leader_dialer.connected:
            return self.leader, leader_dialer
        hosts = sorted(dialers)
        for _ in hosts:
            self.last_tried_index = (self.last_tried_index + 1) % len(hosts)
            host = hosts[self.last_tried_index]
            if dialers[host].connected:
                return host, dialers[host]
        return "", None

    def log_abandoned_call(self, call, sent, start_ms, now_ms):
        """Logs and counts a call that is given up."""
        leader_answered_ms = self.leader_answered_ms
        ago_ms = (
            None if leader_answered_ms is None else now_ms - leader_answered_ms
        )
        logger.warning(
            "Call given up.",
            request=call.request_id,
            sent=sent,
            waited_ms=now_ms - start_ms,
            leader=self.leader or "none",
            leader_answered_ms_ago=ago_ms,
        )
        self.metrics.count("gateway_calls_given_up")

    def record_failure(self, host, call, reason):
        """Logs a failed attempt; its control no longer counts as leader."""
        logger.warning(
            "Call attempt failed.",
            request=call.request_id,
            control=host,
            reason=reason,
        )
        self.metrics.count("gateway_failed_attempts")
        if self.leader == host:
            self.leader = ""

    async def follow_redirect(self, host, leader):
        """Switches to the leader that another control has named."""
        self.links.add(leader)
        dialer = self.links.dialers.get(leader)
        if dialer is not None and leader != host:
            if self.leader != leader:
                logger.info("Leader changed.", leader=leader, said_by=host)
            self.leader = leader
            if not dialer.connected:
                await self.clock.sleep(RETRY_PAUSE_MS)
            return
        self.leader = ""
        await self.clock.sleep(RETRY_PAUSE_MS)

    def is_ready(self):
        """Returns whether a leader has answered recently."""
        if self.leader_answered_ms is None:
            return False
        return (
            self.clock.now() - self.leader_answered_ms <= LEADER_REACHABLE_MS
        )


def is_refusal(call, reply):
    """Returns whether a reply says that a call had no effect."""
    return call.verb in EFFECTIVE_VERBS and reply.outcome in REFUSALS
