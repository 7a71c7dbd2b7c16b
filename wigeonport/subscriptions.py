"""Subscriptions: the links of an entry to the controls."""

from wigeonport.configurations import (
    ConfigRequest,
    ConfigUpdate,
    Subscribe,
    VersionReport,
)
from wigeonport.links import Delivery
from wigeonport.share_messages import ShareGrant, ShareRequest


class ControlLinks:
    """Dialers to the controls.

    Attributes:
        dialers: Dialers in order of preference: to the control on the VM of
            this entry, to one in its zone, to one in another zone.
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
        """Subscribes to updates over a newly opened link."""
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
    """Forwards each delivery to the filter that handles its message type.

    Args:
        inbound: Mailbox of all links of the process.
        configurations: Mailbox for ConfigUpdate and ConfigRequest.
        entries: Mailbox for all other messages.
        shares: Mailbox for ShareRequest and ShareGrant.
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
