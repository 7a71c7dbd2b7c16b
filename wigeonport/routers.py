"""Routers: choose an endpoint for each request and bound the queues."""

from wigeonport.logs import PartLogger
from wigeonport.quarantines import may_quarantine
from wigeonport.queues import ServiceQueue
from wigeonport.registries import Registry
from wigeonport.requests import give_up, refuse
from wigeonport.retries import RetryBudget
from wigeonport.router_messages import Dispatch, HealthChanged, Respond
from wigeonport.shares import ShareDemand
from wigeonport.targets import (
    FULL_PAUSE_MS,
    ServiceTimes,
    Target,
    choose_target,
    list_demand,
)

logger = PartLogger("routers")
handlers = Registry("router message")

LEAVING_REFUSAL = "leaving"
EXPIRE_INTERVAL_MS = 20
IDLE_INTERVAL_MS = 100
DEMAND_INTERVAL_MS = 100
REPORT_INTERVAL_MS = 500
# A service without requests for this long holds no leases: renewing them
# costs more than the one wait of its next request.
IDLE_SERVICE_MS = 10_000
URGENT_INTERVAL_MS = 10
SERVER_ERROR = 500


class Service:
    """What the router keeps of one service.

    Attributes:
        targets: Target by endpoint id.
        queue: Its waiting requests.
        budget: RetryBudget.
        times: ServiceTimes.
        requested_ms: Time of its latest request, or None.
    """

    __slots__ = ("targets", "queue", "budget", "times", "requested_ms")

    def __init__(self, limits):
        self.targets = {}
        self.queue = ServiceQueue(
            limits.queue_bound, limits.queue_wait_ms, limits.discipline
        )
        self.budget = RetryBudget(limits.retry_share, limits.retry_floor)
        self.times = ServiceTimes()
        self.requested_ms = None

    def is_idle(self, now_ms):
        """Returns whether no leases are in use or to be held ready."""
        if self.requested_ms is None:
            return True
        if now_ms - self.requested_ms <= IDLE_SERVICE_MS:
            return False
        running = any(target.in_flight for target in self.targets.values())
        return not self.queue.size and not running

    def slots(self, now_ms):
        """Returns the slots that this entry may use."""
        return sum(target.slots(now_ms) for target in self.targets.values())

    def may_quarantine(self):
        """Returns whether one more endpoint may be set aside."""
        return may_quarantine([t.health for t in self.targets.values()])


class Router:
    """Routes requests; a pure decision without sockets.

    Attributes:
        zone: Availability zone of this entry.
        limits: RouterLimits.
        services: Service by name.
        expired_ms: When waiting requests were checked last.
        demand_ms: When the demand was looked at last.
        reported: Items of the last report.
        reported_ms: When it was made.
    """

    __slots__ = (
        "zone",
        "limits",
        "services",
        "expired_ms",
        "demand_ms",
        "reported",
        "reported_ms",
    )

    def __init__(self, zone, limits):
        self.zone = zone
        self.limits = limits
        self.services = {}
        self.expired_ms = 0
        self.demand_ms = 0
        self.reported = []
        self.reported_ms = 0

    def step(self, message, now_ms, random):
        """Handles a message; returns the commands that follow."""
        handler = handlers.get(type(message).__name__)
        if handler.is_error():
            raise TypeError(handler.error)
        return handler.ok(self, message, now_ms, random)

    def service(self, name):
        """Returns the Service of a name."""
        if name not in self.services:
            self.services[name] = Service(self.limits)
        return self.services[name]

    def tick(self, now_ms, random):
        """Answers requests that waited too long; uses slots that came up."""
        if now_ms - self.expired_ms < EXPIRE_INTERVAL_MS:
            return []
        self.expired_ms = now_ms
        commands = []
        for service in self.services.values():
            margin = service.times.margin
            for request in service.queue.expire(now_ms, margin):
                commands.append(respond_late(request))
            commands += self.drain(service, now_ms, random)
        return commands

    def drain(self, service, now_ms, random):
        """Dispatches waiting requests while there are free slots."""
        commands = []
        queue = service.queue
        while queue.size:
            priority, position = queue.find_next(now_ms)
            request = queue.waiting[priority][position]
            if is_late(service, request, now_ms):
                queue.take(priority, position)
                commands.append(respond_late(request))
                continue
            target = choose_target(
                service.targets.values(), request, self.zone, now_ms, random
            )
            if target is None:
                break
            queue.take(priority, position)
            target.in_flight += 1
            target.health.note_sent()
            request.attempts += 1
            commands.append(Dispatch(request, target.record))
        return commands

    def demand(self, now_ms):
        """Returns the ShareDemand that is due, or None."""
        urgent = self.has_waiting()
        interval_ms = URGENT_INTERVAL_MS if urgent else DEMAND_INTERVAL_MS
        if now_ms - self.demand_ms < interval_ms:
            return None
        self.demand_ms = now_ms
        items = []
        for service in self.services.values():
            if service.is_idle(now_ms):
                continue
            items += list_demand(
                service.targets.values(),
                service.queue.size,
                self.zone,
                now_ms,
            )
        recent = now_ms - self.reported_ms < REPORT_INTERVAL_MS
        if items == self.reported and recent and not urgent:
            return None
        self.reported, self.reported_ms = items, now_ms
        return ShareDemand(items, urgent)

    def has_waiting(self):
        """Returns whether any request waits for a slot."""
        return any(service.queue.size for service in self.services.values())


@handlers.register("CallerRequest")
def queue_request(router, request, now_ms, random):
    """Queues a request, or refuses it when it would wait too long."""
    service = router.service(request.service)
    service.budget.note_request()
    service.requested_ms = now_ms
    queue = service.queue
    wait_ms = service.times.estimate_wait(
        queue.ahead(request.priority), service.slots(now_ms)
    )
    left_ms = request.deadline_ms - now_ms - service.times.margin(request)
    left_ms = min(left_ms, queue.longest_wait_ms)
    if wait_ms and wait_ms > left_ms:
        text = f"the wait would be about {wait_ms:.0f} ms"
        answer = refuse(503, text, wait_ms)
        return [Respond(request, answer, "early")]
    evicted = queue.push(request, now_ms)
    commands = []
    if evicted is not None:
        text = "the queue of the service is full"
        answer = give_up(evicted, 503, text, wait_ms or 1_000)
        commands.append(Respond(evicted, answer, "full"))
    return commands + router.drain(service, now_ms, random)


@handlers.register("EndpointChanged")
def update_target(router, change, now_ms, random):
    """Takes over the latest record of an endpoint."""
    record, limits = change.record, router.limits
    service = router.service(record.service_id)
    target = service.targets.get(record.endpoint_id)
    if target is None:
        target = Target(record, limits.leased, limits.entries)
        service.targets[record.endpoint_id] = target
    elif target.record.incarnation != record.incarnation:
        target.health.release()
        target.share_until_ms = 0
    target.follow(record, limits.entries)
    return router.drain(service, now_ms, random)


@handlers.register("EndpointLost")
def remove_target(router, change, now_ms, random):
    """Stops sending work to an endpoint."""
    service = router.service(change.service)
    target = service.targets.get(change.endpoint_id)
    if target is not None:
        target.lost = True
        forget_lost(service, target)
    return []


@handlers.register("ShareChanged")
def update_share(router, change, now_ms, random):
    """Takes over a lease."""
    service = router.service(change.service)
    target = service.targets.get(change.endpoint_id)
    if target is None or target.share is None:
        return []
    target.share, target.share_until_ms = change.slots, change.until_ms
    return router.drain(service, now_ms, random)


@handlers.register("AttemptEnded")
def finish_attempt(router, ended, now_ms, random):
    """Answers the request, or tries it again where that is safe."""
    request = ended.request
    service = router.service(request.service)
    target = service.targets.get(ended.endpoint_id)
    request.may_have_run = request.may_have_run or ended.possibly_ran
    commands = []
    if target is not None and note_end(service, target, ended, now_ms):
        quarantined = target.health.quarantined
        commands.append(HealthChanged(ended.endpoint_id, quarantined))
    if ended.answer is not None:
        commands.append(Respond(request, ended.answer, "answered"))
    elif may_retry(router, service, ended, now_ms):
        service.queue.put_back(request, now_ms)
    else:
        status = 502 if request.may_have_run else 503
        answer = give_up(request, status, ended.reason, 1_000)
        commands.append(Respond(request, answer, "failed"))
    return commands + router.drain(service, now_ms, random)


def is_late(service, request, now_ms):
    """Returns whether a request can no longer be served in time.

    One that has not waited is always tried, because the mean time of a
    service says little about a single request.
    """
    if request.queued_ms == now_ms:
        return now_ms >= request.deadline_ms
    return now_ms + service.times.margin(request) >= request.deadline_ms


def respond_late(request):
    """Answers a request that can no longer be served in time."""
    text = "no slot of an endpoint was free in time"
    answer = give_up(request, 503, text, 1_000)
    return Respond(request, answer, "waited")


def note_end(service, target, ended, now_ms):
    """Notes an attempt; returns whether a quarantine began or ended."""
    target.in_flight -= 1
    forget_lost(service, target)
    if ended.refusal == LEAVING_REFUSAL:
        target.paused_until_ms = now_ms + 10 * FULL_PAUSE_MS
        target.health.probing = False
    elif ended.refusal is not None:
        target.paused_until_ms = now_ms + FULL_PAUSE_MS
        target.health.probing = False
    elif ended.answer is None or ended.answer.status >= SERVER_ERROR:
        may_quarantine = service.may_quarantine()
        return target.health.note_failure(now_ms, may_quarantine)
    else:
        service.times.note(ended.duration_ms)
        return target.health.note_success()
    return False


def forget_lost(service, target):
    """Removes a lost endpoint once nothing runs on it."""
    if target.lost and not target.in_flight:
        service.targets.pop(target.record.endpoint_id, None)


def may_retry(router, service, ended, now_ms):
    """Returns whether another attempt is safe, useful and affordable.

    A refusal by a leaving endpoint costs nothing: the endpoint gets no
    further work, so these retries cannot become a storm.
    """
    request = ended.request
    safe = not request.may_have_run or request.repeatable
    in_time = now_ms < request.deadline_ms
    if (
        not safe
        or not in_time
        or request.attempts >= (router.limits.max_attempts)
    ):
        return False
    return ended.refusal == LEAVING_REFUSAL or service.budget.take(now_ms)


async def route(inbound, outbound, shares, router, clock, random, metrics):
    """Owns the router; answers requests and sends on dispatches.

    Args:
        inbound: Mailbox of requests, endpoint changes and ends of attempts.
        outbound: Mailbox of the dispatcher.
        shares: Mailbox of the shares. The demand is dropped when it is
            full: waiting could block both tasks, and the next is due soon.
        router: The Router.
        clock: Time source.
        random: Random source.
        metrics: Metrics of the process.
    """
    while True:
        waiting = router.has_waiting()
        wait_ms = EXPIRE_INTERVAL_MS if waiting else IDLE_INTERVAL_MS
        message = await inbound.get_within(wait_ms)
        now_ms = clock.now()
        commands = router.tick(now_ms, random)
        if message is not None:
            commands += router.step(message, now_ms, random)
        for command in commands:
            if not report(command, metrics):
                wait_ms = now_ms - command.request.queued_ms
                metrics.record("routers_wait_us", wait_ms * 1_000)
                await outbound.put(command)
        demand = router.demand(now_ms)
        if demand is not None:
            shares.put_nowait(demand)


def report(command, metrics):
    """Answers callers and logs changes; returns False for a Dispatch."""
    if isinstance(command, Respond):
        metrics.count(f"routers_{command.cause}")
        command.request.reply.send(command.answer)
    elif isinstance(command, HealthChanged):
        if command.quarantined:
            metrics.count("routers_quarantines")
            logger.warning("Endpoint set aside.", endpoint=command.endpoint_id)
        else:
            logger.info("Endpoint used again.", endpoint=command.endpoint_id)
    else:
        return False
    return True
