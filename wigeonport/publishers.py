"""Publishers: push committed fleet versions and track who applies them."""

from wigeonport.configurations import (
    ConfigRequest,
    ConfigUpdate,
    Subscribe,
    VersionReport,
)
from wigeonport.links import Delivery, LinkClosed

REPORT_INTERVAL_MS = 5_000


class VersionAccepted:
    """The replicated log committed a fleet version.

    Attributes:
        version: Number of the version.
        document: The fleet in JSON, as bytes.
        stale: Whether the version may be outdated, because no quorum has
            confirmed that it is the newest.
    """

    __slots__ = ("version", "document", "stale")

    def __init__(self, version, document, stale=False):
        self.version = version
        self.document = document
        self.stale = stale


class StatusQuery:
    """Queries the ProcessStatus of all known processes.

    Attributes:
        reply: Reply channel, which receives a list of ProcessStatus.
    """

    __slots__ = ("reply",)

    def __init__(self, reply):
        self.reply = reply


class ProcessStatus:
    """Fleet version of one process, and when it was last known to be alive.

    Attributes:
        node_id: Node id of the process.
        availability_zone: Zone of the process.
        run_ms: Wall time at which this run of the process started.
        version: Highest version that it has reported in this run.
        last_seen_ms: Monotonic time of its last report, or at which its link
            was last seen open.
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
    """Pushes versions to the subscribers of one control.

    Attributes:
        newest: VersionAccepted with the highest version, or None.
        subscribers: Maps session to the Delivery of its Subscribe.
        statuses: Maps node id to ProcessStatus.
        report: VersionReport of this control itself.
    """

    __slots__ = ("newest", "subscribers", "statuses", "report")

    def __init__(self, report):
        self.report = report
        self.newest = None
        self.subscribers = {}
        self.statuses = {}

    def accept(self, accepted):
        """Pushes a version to all subscribers.

        A lower version than the newest is ignored, and so is the same
        version if it is stale.
        """
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
        """Adds a subscriber and pushes the newest version to it.

        If the subscriber applies a higher version than this control knows,
        it is asked for that version instead.
        """
        message = delivery.message
        self.subscribers[delivery.session] = delivery
        self.record_report(message, now_ms)
        newest_version = 0 if self.newest is None else self.newest.version
        if newest_version > 0 and newest_version >= message.version:
            self.push(delivery)
        elif message.version > newest_version:
            delivery.push(ConfigRequest(newest_version))

    def record_report(self, report, now_ms):
        """Records the highest version that a run of a process has reported.

        Reports arrive through several controls and may overtake each other;
        those of an earlier run are ignored.
        """
        previous = self.statuses.get(report.node_id)
        version = report.version
        if previous is not None and previous.run_ms > report.run_ms:
            return
        if previous is not None and previous.run_ms == report.run_ms:
            version = max(version, previous.version)
        self.statuses[report.node_id] = ProcessStatus(
            report.node_id,
            report.availability_zone,
            report.run_ms,
            version,
            now_ms,
        )

    def local_reports(self, now_ms):
        """Returns the reports of this control and of its subscribers.

        An open link shows that its process is alive. Processes without a link
        to this control are not reported, so that the last_seen_ms of a dead
        process stops advancing at every control.
        """
        self.report.version = self.newest.version if self.newest else 0
        self.record_report(self.report, now_ms)
        deliveries = self.subscribers.values()
        subscriber_ids = {delivery.message.node_id for delivery in deliveries}
        reports = []
        for node_id in sorted(subscriber_ids | {self.report.node_id}):
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
    """Runs the task that owns the publisher.

    Args:
        inbound: Mailbox of VersionAccepted, StatusQuery, LinkClosed and
            Deliveries.
        publisher: The Publisher.
        clock: Time source.
        dialers: Dialers to the other controls, which receive the reports.
    """
    last_report_ms = clock.now()
    while True:
        message = await inbound.get_within(REPORT_INTERVAL_MS)
        now_ms = clock.now()
        is_report_due = handle(publisher, message, now_ms)
        if is_report_due or now_ms - last_report_ms >= REPORT_INTERVAL_MS:
            last_report_ms = now_ms
            for report in publisher.local_reports(now_ms):
                for dialer in dialers:
                    dialer.post(report)


def handle(publisher, message, now_ms):
    """Handles one message; returns whether reports must be sent now."""
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
    """Handles a message from another process.

    Returns:
        Whether reports must be sent now.
    """
    if isinstance(delivery.message, Subscribe):
        publisher.subscribe(delivery, now_ms)
        return True
    if isinstance(delivery.message, ConfigUpdate):
        update = delivery.message
        publisher.accept(
            VersionAccepted(update.version, update.document, True)
        )
        return False
    is_subscriber = delivery.session in publisher.subscribers
    publisher.record_report(delivery.message, now_ms)
    return is_subscriber
