"""Publishers: push accepted fleet versions and track who applies them."""

from wigeonport.configurations import (
    ConfigRequest,
    ConfigUpdate,
    Subscribe,
    VersionReport,
)
from wigeonport.links import Delivery, LinkClosed

REPORT_INTERVAL_MS = 5_000


class VersionAccepted:
    """A fleet version was committed by the replicated log.

    Attributes:
        version: Number of the version.
        document: The fleet in JSON, as bytes.
        stale: Whether no quorum confirmed that it is the newest.
    """

    __slots__ = ("version", "document", "stale")

    def __init__(self, version, document, stale=False):
        self.version = version
        self.document = document
        self.stale = stale


class StatusQuery:
    """Asks for the ProcessStatus of all known processes."""

    __slots__ = ("reply",)

    def __init__(self, reply):
        self.reply = reply


class ProcessStatus:
    """What is known of one process.

    Attributes:
        node_id: The process.
        availability_zone: Its zone.
        run_ms: Wall time at which it started.
        version: Highest version that it reported in this run.
        last_seen_ms: Monotonic time of the report.
    """

    __slots__ = (
        "node_id",
        "availability_zone",
        "run_ms",
        "version",
        "last_seen_ms",
    )

    def __init__(
        self, node_id, availability_zone, run_ms, version, last_seen_ms
    ):
        self.node_id = node_id
        self.availability_zone = availability_zone
        self.run_ms = run_ms
        self.version = version
        self.last_seen_ms = last_seen_ms


class Publisher:
    """Keeps the subscriptions of one control.

    Attributes:
        newest: VersionAccepted with the highest version, or None.
        subscribers: Delivery of the Subscribe by session.
        statuses: ProcessStatus by node id.
        report: VersionReport of this control itself.
    """

    __slots__ = ("newest", "subscribers", "statuses", "report")

    def __init__(self, report):
        self.report = report
        self.newest = None
        self.subscribers = {}
        self.statuses = {}

    def accept(self, accepted):
        """Pushes a version that is higher than all before."""
        if self.newest is not None:
            if accepted.version < self.newest.version:
                return
            if accepted.version == self.newest.version and accepted.stale:
                return
        self.newest = accepted
        for delivery in self.subscribers.values():
            self.push(delivery)

    def push(self, delivery):
        """Pushes the newest version to one subscriber."""
        newest = self.newest
        delivery.push(
            ConfigUpdate(newest.version, newest.document, newest.stale)
        )

    def subscribe(self, delivery, now_ms):
        """Adds a subscriber and brings it up to date."""
        message = delivery.message
        self.subscribers[delivery.session] = delivery
        self.record(message, now_ms)
        known = 0 if self.newest is None else self.newest.version
        if known > 0 and known >= message.version:
            self.push(delivery)
        elif message.version > known:
            delivery.push(ConfigRequest(known))

    def record(self, report, now_ms):
        """Keeps the highest version that a run of a process has reported.

        Reports come over several controls and may overtake each other.
        """
        known = self.statuses.get(report.node_id)
        version = report.version
        if known is not None and known.run_ms > report.run_ms:
            return
        if known is not None and known.run_ms == report.run_ms:
            version = max(version, known.version)
        self.statuses[report.node_id] = ProcessStatus(
            report.node_id,
            report.availability_zone,
            report.run_ms,
            version,
            now_ms,
        )

    def own_reports(self, now_ms):
        """Returns the reports of this control and of its subscribers.

        An open link shows that its process lives; a closed one vouches for
        nothing, so that a dead process becomes silent everywhere.
        """
        self.report.version = self.newest.version if self.newest else 0
        self.record(self.report, now_ms)
        links = self.subscribers.values()
        own = {delivery.message.node_id for delivery in links}
        reports = []
        for node_id in sorted(own | {self.report.node_id}):
            status = self.statuses[node_id]
            status.last_seen_ms = now_ms
            reports.append(
                VersionReport(
                    status.node_id,
                    status.availability_zone,
                    status.run_ms,
                    status.version,
                )
            )
        return reports


async def publish(inbound, publisher, clock, dialers):
    """Owns the publisher.

    Args:
        inbound: Mailbox of VersionAccepted, StatusQuery and link messages.
        publisher: The Publisher.
        clock: Time source.
        dialers: Dialers of the other controls, which get the reports.
    """
    reported_ms = clock.now()
    while True:
        message = await inbound.get_within(REPORT_INTERVAL_MS)
        now_ms = clock.now()
        changed = handle(publisher, message, now_ms)
        if changed or now_ms - reported_ms >= REPORT_INTERVAL_MS:
            reported_ms = now_ms
            for report in publisher.own_reports(now_ms):
                for dialer in dialers:
                    dialer.post(report)


def handle(publisher, message, now_ms):
    """Handles one message; returns whether reports are to be sent."""
    if isinstance(message, VersionAccepted):
        publisher.accept(message)
        return True
    if isinstance(message, StatusQuery):
        message.reply.send(list(publisher.statuses.values()))
    elif isinstance(message, LinkClosed):
        publisher.subscribers.pop(message.session, None)
    elif isinstance(message, Delivery):
        return handle_delivery(publisher, message, now_ms)
    return False


def handle_delivery(publisher, delivery, now_ms):
    """Handles a message of another process."""
    if isinstance(delivery.message, Subscribe):
        publisher.subscribe(delivery, now_ms)
        return True
    if isinstance(delivery.message, ConfigUpdate):
        update = delivery.message
        publisher.accept(
            VersionAccepted(update.version, update.document, True)
        )
        return False
    own = delivery.session in publisher.subscribers
    publisher.record(delivery.message, now_ms)
    return own
