"""Distribution of the fleet version to the processes that apply it."""

import json

from wigeonport.codecs import message_kinds
from wigeonport.logs import PartLogger

logger = PartLogger("config")

STALE_WAIT_MS = 1_000
SETTLE_INTERVAL_MS = 500


@message_kinds.register("Subscribe")
class Subscribe:
    """Asks a control for updates from a version on.

    Attributes:
        node_id: The subscriber.
        availability_zone: Its zone.
        run_ms: Wall time at which the process started; tells its runs apart.
        version: Version that it applies, 0 for none.
    """

    __slots__ = ("node_id", "availability_zone", "run_ms", "version")

    def __init__(self, node_id, availability_zone, run_ms, version):
        self.node_id = node_id
        self.availability_zone = availability_zone
        self.run_ms = run_ms
        self.version = version


@message_kinds.register("ConfigUpdate")
class ConfigUpdate:
    """An accepted fleet version.

    Attributes:
        version: Number of the version.
        document: The fleet in JSON.
        stale: Whether no quorum confirmed that it is the newest.
    """

    __slots__ = ("version", "document", "stale")

    def __init__(self, version, document, stale):
        self.version = version
        self.document = document
        self.stale = stale


@message_kinds.register("VersionReport")
class VersionReport:
    """Reports the version that a process applies; fields as in Subscribe."""

    __slots__ = ("node_id", "availability_zone", "run_ms", "version")

    def __init__(self, node_id, availability_zone, run_ms, version):
        self.node_id = node_id
        self.availability_zone = availability_zone
        self.run_ms = run_ms
        self.version = version


@message_kinds.register("ConfigRequest")
class ConfigRequest:
    """Asks a process for the version that it applies.

    A control that lost its memory during a partition learns the newest
    version of its zone in this way.

    Attributes:
        above: Only a higher version is of use.
    """

    __slots__ = ("above",)

    def __init__(self, above):
        self.above = above


class FleetApplied:
    """Tells the filters of a process about a newly applied version.

    Attributes:
        version: Number of the version.
        document: The fleet as plain data.
    """

    __slots__ = ("version", "document")

    def __init__(self, version, document):
        self.version = version
        self.document = document


class Configuration:
    """Decides which updates are applied; versions never go back.

    The first version is applied at once if a quorum confirmed it. A stale
    one waits for STALE_WAIT_MS, so that of the versions that the reachable
    controls know the highest is applied.

    Attributes:
        version: Version in force, 0 before the first.
        stale: Whether it may be outdated.
        update: ConfigUpdate in force, or None.
        candidate: Highest stale update so far, or None.
        apply_ms: When the candidate is applied.
    """

    __slots__ = ("version", "stale", "update", "candidate", "apply_ms")

    def __init__(self):
        self.version = 0
        self.stale = True
        self.update = None
        self.candidate = None
        self.apply_ms = 0

    def offer(self, update, now_ms):
        """Returns a FleetApplied if the update is to be applied now."""
        if update.version <= self.version:
            if update.version == self.version:
                self.stale = self.stale and update.stale
            return None
        if self.version == 0 and update.stale:
            self.hold(update, now_ms)
            return None
        return self.apply(update)

    def hold(self, update, now_ms):
        """Keeps the highest stale update until its time."""
        if self.candidate is None:
            self.apply_ms = now_ms + STALE_WAIT_MS
            self.candidate = update
        elif update.version > self.candidate.version:
            self.candidate = update

    def settle(self, now_ms):
        """Returns a FleetApplied if the candidate's time has come."""
        if self.candidate is None or now_ms < self.apply_ms:
            return None
        candidate, self.candidate = self.candidate, None
        return self.apply(candidate) if self.version == 0 else None

    def apply(self, update):
        """Puts an update in force."""
        document = json.loads(update.document)
        self.version = update.version
        self.stale = update.stale
        self.update = update
        return FleetApplied(update.version, document)


async def apply_updates(
    inbound, outbounds, configuration, report, clock, metrics, events
):
    """Applies ConfigUpdates in order and reports the version in force.

    Args:
        inbound: Mailbox of Deliveries of ConfigUpdate and ConfigRequest.
        outbounds: Mailboxes that receive each FleetApplied.
        configuration: The Configuration of this process.
        report: Called with the version after it is applied.
        clock: Time source.
        metrics: Metrics of the process.
        events: EventLog of the process.
    """
    while True:
        delivery = await inbound.get_within(SETTLE_INTERVAL_MS)
        applied = configuration.settle(clock.now())
        if delivery is not None:
            applied = take(configuration, delivery, clock.now()) or applied
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


def take(configuration, delivery, now_ms):
    """Handles one message; returns a FleetApplied or None."""
    message = delivery.message
    if isinstance(message, ConfigUpdate):
        return configuration.offer(message, now_ms)
    known = configuration.update
    if known is not None and known.version > message.above:
        delivery.push(ConfigUpdate(known.version, known.document, True))
    return None
