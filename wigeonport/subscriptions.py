"""Subscriptions: an entry's links to the controls."""

from wigeonport.configurations import (
    ConfigRequest,
    ConfigUpdate,
    Subscribe,
    VersionReport,
)
from wigeonport.links import Delivery
from wigeonport.share_messages import ShareGrant, ShareRequest


class ControlLinks:
    """Dialers to the controls, those of the own VM and zone first.

    Attributes:
        dialers: Dialers in order of preference.
        identity: Identity of this process.
        configuration: Configuration of this process.
        run_ms: Wall time at which this process started.
    """

    __slots__ = ("dialers", "identity", "configuration", "run_ms")

    def __init__(self, identity, configuration, run_ms):
        self.dialers = []
        self.identity = identity
        self.configuration = configuration
        self.run_ms = run_ms

    def subscribe(self, dialer):
        """Subscribes over a link that was just opened."""
        dialer.post(
            Subscribe(
                self.identity.node_id,
                self.identity.availability_zone,
                self.run_ms,
                self.configuration.version,
            )
        )

    def report(self, version):
        """Reports the version in force to every connected control."""
        for dialer in self.dialers:
            dialer.post(
                VersionReport(
                    self.identity.node_id,
                    self.identity.availability_zone,
                    self.run_ms,
                    version,
                )
            )

    def preferred(self):
        """Returns the connected dialers in order of preference."""
        return [dialer for dialer in self.dialers if dialer.connected]


async def route_deliveries(inbound, configurations, entries, shares):
    """Passes arrivals to the filter that handles them.

    Args:
        inbound: Mailbox of all links of the process.
        configurations: Mailbox for ConfigUpdates and ConfigRequests.
        entries: Mailbox for the messages of other entries.
        shares: Mailbox for the ShareRequests and ShareGrants of others.
    """
    async for delivery in inbound:
        if not isinstance(delivery, Delivery):
            await entries.put(delivery)
        elif isinstance(delivery.message, (ConfigUpdate, ConfigRequest)):
            await configurations.put(delivery)
        elif isinstance(delivery.message, (ShareRequest, ShareGrant)):
            await shares.put(delivery)
        else:
            await entries.put(delivery)
