"""Distribution of the fleet version to the processes that apply it."""

import json

from wigeonport.codecs import message_kinds
from wigeonport.logs import PartLogger

logger = PartLogger("config")


@message_kinds.register("Subscribe")
class Subscribe:
    """Asks a control for updates from a version on.

    Attributes:
        node_id: The subscriber.
        availability_zone: Its zone.
        version: Version that it applies, 0 for none.
    """

    __slots__ = ("node_id", "availability_zone", "version")

    def __init__(self, node_id, availability_zone, version):
        self.node_id = node_id
        self.availability_zone = availability_zone
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
    """Reports the version that a process applies."""

    __slots__ = ("node_id", "availability_zone", "version")

    def __init__(self, node_id, availability_zone, version):
        self.node_id = node_id
        self.availability_zone = availability_zone
        self.version = version


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

    Attributes:
        version: Version in force, 0 before the first.
        stale: Whether it may be outdated.
    """

    __slots__ = ("version", "stale")

    def __init__(self):
        self.version = 0
        self.stale = True

    def offer(self, update):
        """Returns a FleetApplied if the update is to be applied."""
        if update.version == self.version:
            self.stale = self.stale and update.stale
        if update.version <= self.version:
            return None
        document = json.loads(update.document)
        self.version = update.version
        self.stale = update.stale
        return FleetApplied(update.version, document)


async def apply_updates(inbound, outbounds, configuration, report, metrics):
    """Applies ConfigUpdates in order and reports the version in force.

    Args:
        inbound: Mailbox of ConfigUpdates.
        outbounds: Mailboxes that receive each FleetApplied.
        configuration: The Configuration of this process.
        report: Called with the version after it is applied.
        metrics: Metrics of the process.
    """
    async for update in inbound:
        applied = configuration.offer(update)
        if applied is None:
            report(configuration.version)
            continue
        for outbound in outbounds:
            await outbound.put(applied)
        metrics.set("config_version", applied.version)
        logger.info("Version applied.", version=applied.version)
        report(applied.version)
