"""Routers: choose an endpoint for each request and bound the queues."""

from collections import deque

from wigeonport.endpoints import READY
from wigeonport.registries import Registry
from wigeonport.requests import give_up, refuse

handlers = Registry("router message")


class AttemptEnded:
    """The result of one attempt at an endpoint.

    Attributes:
        request: The request.
        endpoint_id: Where it was tried.
        answer: CallerAnswer, or None if no whole answer arrived.
        ran: False if the endpoint certainly did not run it.
        reason: Why there is no answer.
    """

    __slots__ = ("request", "endpoint_id", "answer", "ran", "reason")

    def __init__(self, request, endpoint_id, answer, ran, reason):
        self.request = request
        self.endpoint_id = endpoint_id
        self.answer = answer
        self.ran = ran
        self.reason = reason


class Dispatch:
    """Command: try a request at an endpoint."""

    __slots__ = ("request", "record")

    def __init__(self, request, record):
        self.request = request
        self.record = record


class Respond:
    """Command: answer a request."""

    __slots__ = ("request", "answer")

    def __init__(self, request, answer):
        self.request = request
        self.answer = answer


class Target:
    """An endpoint as the router sees it.

    Attributes:
        record: Its latest record.
        in_flight: Requests of this entry that run on it.
    """

    __slots__ = ("record", "in_flight")

    def __init__(self, record):
        self.record = record
        self.in_flight = 0

    @property
    def free_slots(self):
        """Slots that this entry may still use."""
        return self.record.slots - self.in_flight


class Router:
    """Routes requests; a pure decision without sockets.

    Attributes:
        availability_zone: Zone of this entry.
        queue_bound: Largest number of waiting requests of a service.
        max_attempts: Attempts for one repeatable request.
        targets: Targets by service and endpoint id.
        queues: Waiting requests by service.
    """

    __slots__ = (
        "availability_zone",
        "queue_bound",
        "max_attempts",
        "targets",
        "queues",
    )

    def __init__(self, availability_zone, queue_bound, max_attempts):
        self.availability_zone = availability_zone
        self.queue_bound = queue_bound
        self.max_attempts = max_attempts
        self.targets = {}
        self.queues = {}

    def step(self, message, now_ms, random):
        """Handles a message; returns the commands that follow."""
        handler = handlers.get(type(message).__name__)
        if handler.is_error():
            raise TypeError(handler.error)
        return handler.ok(self, message, now_ms, random)

    def expire(self, now_ms):
        """Answers the waiting requests whose deadline has passed."""
        commands = []
        for service, queue in self.queues.items():
            kept = deque()
            for request in queue:
                if now_ms >= request.deadline_ms:
                    text = "no free endpoint before the deadline"
                    answer = give_up(request, 504, text)
                    commands.append(Respond(request, answer))
                else:
                    kept.append(request)
            self.queues[service] = kept
        return commands

    def choose(self, service, now_ms, random):
        """Returns the Target for the next request, or None.

        Endpoints of the own zone go first; among those, two are drawn at
        random and the one with more free slots wins.
        Source: M. Mitzenmacher, "The Power of Two Choices in Randomized
        Load Balancing", 2001.
        """
        usable = [
            target
            for target in self.targets.get(service, {}).values()
            if target.record.state == READY and target.free_slots > 0
        ]
        near = [
            target
            for target in usable
            if target.record.availability_zone == self.availability_zone
        ]
        candidates = near or usable
        if not candidates:
            return None
        drawn = random.sample(candidates, min(2, len(candidates)))
        return max(drawn, key=lambda target: target.free_slots)

    def drain_queue(self, service, now_ms, random):
        """Dispatches waiting requests while there are free slots."""
        commands = []
        queue = self.queues.get(service, ())
        while queue:
            target = self.choose(service, now_ms, random)
            if target is None:
                break
            request = queue.popleft()
            target.in_flight += 1
            request.attempts += 1
            commands.append(Dispatch(request, target.record))
        return commands


@handlers.register("CallerRequest")
def queue_request(router, request, now_ms, random):
    """Queues a request, or refuses it when the queue is full."""
    queue = router.queues.setdefault(request.service, deque())
    if len(queue) >= router.queue_bound:
        answer = refuse(503, "the queue of the service is full", 1_000)
        return [Respond(request, answer)]
    queue.append(request)
    return router.drain_queue(request.service, now_ms, random)


@handlers.register("EndpointChanged")
def update_target(router, change, now_ms, random):
    """Takes over the latest record of an endpoint."""
    record = change.record
    targets = router.targets.setdefault(record.service_id, {})
    target = targets.setdefault(record.endpoint_id, Target(record))
    target.record = record
    return router.drain_queue(record.service_id, now_ms, random)


@handlers.register("EndpointLost")
def remove_target(router, change, now_ms, random):
    """Stops sending work to an endpoint."""
    router.targets.get(change.service, {}).pop(change.endpoint_id, None)
    return []


@handlers.register("AttemptEnded")
def finish_attempt(router, ended, now_ms, random):
    """Answers the request, or tries it again where that is safe."""
    request = ended.request
    targets = router.targets.get(request.service, {})
    target = targets.get(ended.endpoint_id)
    if target is not None:
        target.in_flight = max(0, target.in_flight - 1)
    request.may_have_run = request.may_have_run or ended.ran
    commands = []
    if ended.answer is not None:
        commands.append(Respond(request, ended.answer))
    elif may_retry(router, ended, now_ms):
        router.queues.setdefault(request.service, deque()).appendleft(request)
    else:
        status = 502 if request.may_have_run else 503
        answer = give_up(request, status, ended.reason, 1_000)
        commands.append(Respond(request, answer))
    commands += router.drain_queue(request.service, now_ms, random)
    return commands


def may_retry(router, ended, now_ms):
    """Returns whether another attempt is safe and useful."""
    request = ended.request
    safe = not request.may_have_run or request.repeatable
    in_time = now_ms < request.deadline_ms
    return safe and in_time and request.attempts < router.max_attempts


async def route(inbound, outbound, router, clock, random, tick_ms):
    """Owns the router; answers requests and sends on dispatches."""
    while True:
        message = await inbound.get_within(tick_ms)
        now_ms = clock.now()
        commands = router.expire(now_ms)
        if message is not None:
            commands += router.step(message, now_ms, random)
        for command in commands:
            if isinstance(command, Respond):
                command.request.reply.send(command.answer)
            else:
                await outbound.put(command)
