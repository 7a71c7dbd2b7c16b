"""Routers: choose an endpoint for each request and bound the queues.

The Router decides without sockets or a clock of its own; ``route`` is the
task that owns it and executes its commands.
"""

from wigeonport.logs import PartLogger
from wigeonport.quarantines import may_quarantine
from wigeonport.queues import ServiceQueue
from wigeonport.registries import Registry
from wigeonport.requests import give_up, refuse
from wigeonport.retries import RetryBudget
from wigeonport.router_messages import Dispatch, HealthChanged, Respond
from wigeonport.shares import ShareDemand
from wigeonport.targets import (
    REFUSAL_PAUSE_MS,
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
DEMAND_REPEAT_INTERVAL_MS = 500
# A service without requests for this long holds no leases: renewing them
# costs more than the wait of its next request for a new lease.
SERVICE_IDLE_MS = 10_000
URGENT_DEMAND_INTERVAL_MS = 10
MIN_SERVER_ERROR_STATUS = 500


class ServiceState:
    """Endpoints, queue and statistics of one service in the router.

    Attributes:
        targets: Maps endpoint id to Target.
        queue: ServiceQueue of the requests that wait for a slot.
        budget: RetryBudget.
        times: ServiceTimes.
        last_request_ms: Monotonic time of its latest request, or None.
    """

    __slots__ = ("targets", "queue", "budget", "times", "last_request_ms")

    def __init__(self, limits):
        self.targets = {}
        self.queue = ServiceQueue(
            limits.queue_bound, limits.queue_wait_ms, limits.discipline
        )
        self.budget = RetryBudget(limits.retry_share, limits.retry_floor)
        self.times = ServiceTimes()
        self.last_request_ms = None

    def is_idle(self, now_ms):
        """Returns whether the service needs no leases.

        It needs them while requests wait or run, and for SERVICE_IDLE_MS
        after its latest request.
        """
        if self.last_request_ms is None:
            return True
        if now_ms - self.last_request_ms <= SERVICE_IDLE_MS:
            return False
        running = any(target.in_flight for target in self.targets.values())
        return not self.queue.size and not running

    def slots(self, now_ms):
        """Returns the number of slots that this entry may use."""
        return sum(target.slots(now_ms) for target in self.targets.values())

    def may_quarantine(self):
        """Returns whether one more endpoint may be quarantined."""
        return may_quarantine([t.health for t in self.targets.values()])


class Router:
    """Decides which endpoint gets which request, without any I/O.

    Attributes:
        zone: Availability zone of this entry.
        limits: RouterLimits.
        services: Maps service name to ServiceState.
        last_expiry_ms: Monotonic time when waiting requests were last
            checked for expiry.
        last_demand_check_ms: Monotonic time when the demand was last
            computed.
        last_demand: Items of the last ShareDemand.
        last_demand_ms: Monotonic time of the last ShareDemand.
    """

    __slots__ = (
        "zone",
        "limits",
        "services",
        "last_expiry_ms",
        "last_demand_check_ms",
        "last_demand",
        "last_demand_ms",
    )

    def __init__(self, zone, limits):
        self.zone = zone
        self.limits = limits
        self.services = {}
        self.last_expiry_ms = 0
        self.last_demand_check_ms = 0
        self.last_demand = []
        self.last_demand_ms = 0

    def step(self, message, now_ms, random):
        """Handles a message; returns the commands to execute.

        Raises:
            TypeError: If no handler is registered for the message.
        """
        handler = handlers.get(type(message).__name__)
        if handler.is_error():
            raise TypeError(handler.error)
        return handler.ok(self, message, now_ms, random)

    def service(self, name):
        """Returns the ServiceState of a service; creates it if missing."""
        if name not in self.services:
            self.services[name] = ServiceState(self.limits)
        return self.services[name]

    def tick(self, now_ms, random):
        """Answers requests that waited too long and dispatches others.

        It does nothing within EXPIRE_INTERVAL_MS of the last check.
        """
        if now_ms - self.last_expiry_ms < EXPIRE_INTERVAL_MS:
            return []
        self.last_expiry_ms = now_ms
        commands = []
        for service in self.services.values():
            estimate_service_ms = service.times.estimate_service_ms
            for request in service.queue.expire(now_ms, estimate_service_ms):
                commands.append(respond_late(request))
            commands += self.dispatch_waiting(service, now_ms, random)
        return commands

    def dispatch_waiting(self, service, now_ms, random):
        """Dispatches waiting requests while there are free slots."""
        commands = []
        queue = service.queue
        while queue.size:
            priority, position = queue.find_next(now_ms)
            request = queue.waiting[priority][position]
            if is_too_late(service, request, now_ms):
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
            target.health.record_dispatch()
            request.attempts += 1
            commands.append(Dispatch(request, target.record))
        return commands

    def demand(self, now_ms):
        """Returns the ShareDemand to send now, or None.

        While no request waits, an unchanged demand is sent only once in
        DEMAND_REPEAT_INTERVAL_MS.
        """
        urgent = self.has_waiting()
        interval_ms = (
            URGENT_DEMAND_INTERVAL_MS if urgent else DEMAND_INTERVAL_MS
        )
        if now_ms - self.last_demand_check_ms < interval_ms:
            return None
        self.last_demand_check_ms = now_ms
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
        recent = now_ms - self.last_demand_ms < DEMAND_REPEAT_INTERVAL_MS
        if items == self.last_demand and recent and not urgent:
            return None
        self.last_demand, self.last_demand_ms = items, now_ms
        return ShareDemand(items, urgent)

    def has_waiting(self):
        """Returns whether any request waits for a slot."""
        return any(service.queue.size for service in self.services.values())


@handlers.register("CallerRequest")
def queue_request(router, request, now_ms, random):
    """Queues a request, or refuses it if it would wait too long."""
    service = router.service(request.service)
    service.budget.add_request_tokens()
    service.last_request_ms = now_ms
    queue = service.queue
    wait_ms = service.times.estimate_wait_ms(
        queue.count_ahead(request.priority), service.slots(now_ms)
    )
    remaining_ms = (
        request.deadline_ms
        - now_ms
        - service.times.estimate_service_ms(request)
    )
    remaining_ms = min(remaining_ms, queue.max_wait_ms)
    if wait_ms and wait_ms > remaining_ms:
        text = f"the wait for a slot would be about {wait_ms:.0f} ms"
        answer = refuse(503, text, wait_ms)
        return [Respond(request, answer, "early")]
    evicted = queue.push(request, now_ms)
    commands = []
    if evicted is not None:
        text = "the queue of the service is full"
        answer = give_up(evicted, 503, text, wait_ms or 1_000)
        commands.append(Respond(evicted, answer, "full"))
    return commands + router.dispatch_waiting(service, now_ms, random)


@handlers.register("EndpointChanged")
def update_target(router, change, now_ms, random):
    """Adds an endpoint or updates its record.

    A new incarnation starts without failures and without a lease.
    """
    record, limits = change.record, router.limits
    service = router.service(record.service_id)
    target = service.targets.get(record.endpoint_id)
    if target is None:
        target = Target(record, limits.leased, limits.entries)
        service.targets[record.endpoint_id] = target
    elif target.record.incarnation != record.incarnation:
        target.health.reset()
        target.lease_end_ms = 0
    target.update_record(record, limits.entries)
    return router.dispatch_waiting(service, now_ms, random)


@handlers.register("EndpointLost")
def remove_target(router, change, now_ms, random):
    """Stops sending requests to an endpoint that was lost."""
    service = router.service(change.service)
    target = service.targets.get(change.endpoint_id)
    if target is not None:
        target.lost = True
        remove_lost_target(service, target)
    return []


@handlers.register("ShareChanged")
def update_share(router, change, now_ms, random):
    """Records the lease that this entry now holds at an endpoint."""
    service = router.service(change.service)
    target = service.targets.get(change.endpoint_id)
    if target is None or target.leased_slots is None:
        return []
    target.leased_slots, target.lease_end_ms = change.slots, change.until_ms
    return router.dispatch_waiting(service, now_ms, random)


@handlers.register("AttemptEnded")
def finish_attempt(router, result, now_ms, random):
    """Answers the request, or queues it again if a retry is allowed."""
    request = result.request
    service = router.service(request.service)
    target = service.targets.get(result.endpoint_id)
    request.may_have_run = request.may_have_run or result.possibly_ran
    commands = []
    if target is not None and record_attempt(service, target, result, now_ms):
        quarantined = target.health.quarantined
        commands.append(HealthChanged(result.endpoint_id, quarantined))
    if result.answer is not None:
        commands.append(Respond(request, result.answer, "answered"))
    elif may_retry(router, service, result, now_ms):
        service.queue.requeue(request, now_ms)
    else:
        status = 502 if request.may_have_run else 503
        answer = give_up(request, status, result.reason, 1_000)
        commands.append(Respond(request, answer, "failed"))
    return commands + router.dispatch_waiting(service, now_ms, random)


def is_too_late(service, request, now_ms):
    """Returns whether a request can no longer be answered in time.

    A request that has not waited is tried as long as its deadline has not
    passed, because the mean time of a service says little about a single
    request.
    """
    if request.queued_ms == now_ms:
        return now_ms >= request.deadline_ms
    return (
        now_ms + service.times.estimate_service_ms(request)
        >= request.deadline_ms
    )


def respond_late(request):
    """Returns the Respond for a request that waited too long for a slot."""
    text = "no endpoint had a free slot in time"
    answer = give_up(request, 503, text, 1_000)
    return Respond(request, answer, "waited")


def record_attempt(service, target, result, now_ms):
    """Updates a target after an attempt that ended on it.

    A target that refused the request gets no requests for a while, and ten
    times as long if it is leaving.

    Returns:
        Whether a quarantine began or ended.
    """
    target.in_flight -= 1
    remove_lost_target(service, target)
    if result.refusal == LEAVING_REFUSAL:
        target.paused_until_ms = now_ms + 10 * REFUSAL_PAUSE_MS
        target.health.probing = False
    elif result.refusal is not None:
        target.paused_until_ms = now_ms + REFUSAL_PAUSE_MS
        target.health.probing = False
    elif (
        result.answer is None
        or result.answer.status >= MIN_SERVER_ERROR_STATUS
    ):
        may_quarantine = service.may_quarantine()
        return target.health.record_failure(now_ms, may_quarantine)
    else:
        service.times.add_sample(result.duration_ms)
        return target.health.record_success()
    return False


def remove_lost_target(service, target):
    """Removes a lost endpoint once none of its requests is in flight.

    Until then its slots in use stay counted, in case it comes back.
    """
    if target.lost and not target.in_flight:
        service.targets.pop(target.record.endpoint_id, None)


def may_retry(router, service, result, now_ms):
    """Returns whether the request may be tried again.

    A retry must be safe, before the deadline, within the maximum number of
    attempts and within the retry budget. A refusal by a leaving endpoint
    does not count against the budget: the endpoint gets no further work, so
    these retries cannot become a retry storm.
    """
    request = result.request
    safe = not request.may_have_run or request.repeatable
    in_time = now_ms < request.deadline_ms
    if (
        not safe
        or not in_time
        or request.attempts >= (router.limits.max_attempts)
    ):
        return False
    return result.refusal == LEAVING_REFUSAL or service.budget.take(now_ms)


async def route(inbound, outbound, shares, router, clock, random, metrics):
    """Task that owns the router and executes its commands.

    Args:
        inbound: Mailbox of requests, endpoint and lease changes, and
            attempt results.
        outbound: Mailbox of the dispatcher.
        shares: Mailbox of the task that leases slots. When it is full the
            demand is dropped: waiting could deadlock both tasks, and the
            next demand is due soon.
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
            if not execute_command(command, metrics):
                wait_ms = now_ms - command.request.queued_ms
                metrics.record("routers_wait_us", wait_ms * 1_000)
                await outbound.put(command)
        demand = router.demand(now_ms)
        if demand is not None:
            shares.put_nowait(demand)


def execute_command(command, metrics):
    """Executes a Respond or HealthChanged.

    Returns:
        False for a Dispatch, which is left to the dispatcher.
    """
    if isinstance(command, Respond):
        metrics.count(f"routers_{command.cause}")
        command.request.reply.send(command.answer)
    elif isinstance(command, HealthChanged):
        if command.quarantined:
            metrics.count("routers_quarantines")
            logger.warning(
                "Endpoint quarantined.", endpoint=command.endpoint_id
            )
        else:
            logger.info(
                "Endpoint quarantine ended.", endpoint=command.endpoint_id
            )
    else:
        return False
    return True
