"""Distribution of fleet versions to the processes that apply them."""

import json

from wigeonport.codecs import message_kinds
from wigeonport.logs import PartLogger

logger = PartLogger("config")

STALE_WAIT_MS = 1_000
CANDIDATE_CHECK_INTERVAL_MS = 500


@message_kinds.register("Subscribe")
class Subscribe:
    """Subscribes to the updates of a control.

    Attributes:
        node_id: Node id of the subscriber.
        availability_zone: Zone of the subscriber.
        run_ms: Wall time at which the process started; distinguishes its
            runs.
        version: Number of the version that it applies, 0 for none.
    """

    __slots__ = ("node_id", "availability_zone", "run_ms", "version")

    def __init__(self, node_id, availability_zone, run_ms, version):
        self.node_id = node_id
        self.availability_zone = availability_zone
        self.run_ms = run_ms
        self.version = version


@message_kinds.register("ConfigUpdate")
class ConfigUpdate:
    """A committed fleet version.

    Attributes:
        version: Number of the version.
        document: The fleet in JSON, as bytes.
        stale: Whether the version may be outdated, because no quorum has
            confirmed that it is the newest.
    """

    __slots__ = ("version", "document", "stale")

    def __init__(self, version, document, stale):
        self.version = version
        self.document = document
        self.stale = stale


@message_kinds.register("VersionReport")
class VersionReport:
    """Reports the version that a process applies.

    The attributes are those of Subscribe.
    """

    __slots__ = ("node_id", "availability_zone", "run_ms", "version")

    def __init__(self, node_id, availability_zone, run_ms, version):
        self.node_id = node_id
        self.availability_zone = availability_zone
        self.run_ms = run_ms
        self.version = version


@message_kinds.register("ConfigRequest")
class ConfigRequest:
    """Requests the version that a process applies.

    A control that restarts without state during a partition obtains the
    newest version of its zone in this way.

    Attributes:
        above: The process answers only if its version is higher than this.
    """

    __slots__ = ("above",)

    def __init__(self, above):
        self.above = above


class FleetApplied:
    """Notifies the filters of a process that a version was applied.

    Attributes:
        version: Number of the version.
        document: The fleet, decoded from JSON.
    """

    __slots__ = ("version", "document")

    def __init__(self, version, document):
        self.version = version
        self.document = document


class Configuration:
    """Decides which updates are applied; the version never decreases.

    The first version is applied at once if a quorum has confirmed it. If it is
    stale, it is applied only after STALE_WAIT_MS, so that the highest of the
    versions known to the reachable controls is the one applied.

    Attributes:
        version: Number of the version in force, 0 before the first.
        stale: Whether it may be outdated.
        update: ConfigUpdate in force, or None.
        candidate: Highest stale update received before the first version is
            in force, or None.
        candidate_due_ms: Time at which the candidate is applied.
    """

    __slots__ = ("version", "stale", "update", "candidate", "candidate_due_ms")

    def __init__(self):
        self.version = 0
        self.stale = True
        self.update = None
        self.candidate = None
        self.candidate_due_ms = 0

    def offer(self, update, now_ms):
        """Applies an update if it is due; returns a FleetApplied or None."""
        if update.version <= self.version:
            if update.version == self.version:
                self.stale = self.stale and update.stale
            return None
        if self.version == 0 and update.stale:
            self.keep_candidate(update, now_ms)
            return None
        return self.apply(update)

    def keep_candidate(self, update, now_ms):
        """Keeps an update as candidate if it is the highest stale one."""
        if self.candidate is None:
            self.candidate_due_ms = now_ms + STALE_WAIT_MS
            self.candidate = update
        elif update.version > self.candidate.version:
            self.candidate = update

    def apply_candidate(self, now_ms):
        """Applies the candidate if it is due; returns a FleetApplied or None.

        The candidate is dropped if another version is in force by then.
        """
        if self.candidate is None or now_ms < self.candidate_due_ms:
            return None
        candidate, self.candidate = self.candidate, None
        return self.apply(candidate) if self.version == 0 else None

    def apply(self, update):
        """Puts an update in force; returns the FleetApplied."""
        document = json.loads(update.document)
        self.version = update.version
        self.stale = update.stale
        self.update = update
        return FleetApplied(update.version, document)


async def apply_updates(
    inbound, outbounds, configuration, report, clock, metrics, events
):
    """Runs the task that applies updates and reports the version in force.

    Args:
        inbound: Mailbox of Deliveries of ConfigUpdate and ConfigRequest.
        outbounds: Mailboxes that receive each FleetApplied.
        configuration: The Configuration of this process.
        report: Function that is called with each version after it is applied.
        clock: Time source.
        metrics: Metrics of the process.
        events: EventLog of the process.
    """
    while True:
        delivery = await inbound.get_within(CANDIDATE_CHECK_INTERVAL_MS)
        applied = configuration.apply_candidate(clock.now())
        if delivery is not None:
            applied = (
                handle_delivery(configuration, delivery, clock.now())
                or applied
            )
        if applied is None:
            continue
        for outbound in outbounds:
            await outbound.put(applied)
        metrics.set("config_version", applied.version)
        logger.info(
            "Version applied.",
            version=applied.version,
            stale=configuration.stale,
        )
        events.record(
            "config.applied",
            version=applied.version,
            stale=configuration.stale,
        )
        report(applied.version)


def handle_delivery(configuration, delivery, now_ms):
    """Handles a ConfigUpdate or answers a ConfigRequest.

    Returns:
        A FleetApplied if a version was applied, or else None.
    """
    message = delivery.message
    if isinstance(message, ConfigUpdate):
        return configuration.offer(message, now_ms)
    current = configuration.update
    if current is not None and current.version > message.above:
        delivery.push(ConfigUpdate(current.version, current.document, True))
    return None
