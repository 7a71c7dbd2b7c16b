"""Links to controls that are known by their addresses only.

The node name of such a control is its IP address, and all controls of a
deployment listen for links on the same port.
"""

from wigeonport.channels import REFUSE, Mailbox
from wigeonport.dialers import Dialer

# Controls of a deployment, also those that were replaced since the start.
MAX_PEERS = 64


class PeerLinks:
    """Keeps a link open to each control that was named.

    Attributes:
        context: LinkContext of the process.
        own_host: Address of this process.
        port: TCP port of the links of all controls.
        dialers: Dialer by address.
        inbox: Mailbox of addresses that need a link.
    """

    __slots__ = ("context", "own_host", "port", "dialers", "inbox")

    def __init__(self, context, own_host, port, hosts):
        self.context = context
        self.own_host = own_host
        self.port = port
        self.dialers = {}
        self.inbox = Mailbox("peer links", MAX_PEERS, REFUSE)
        for host in hosts:
            self.add(host)

    def add(self, host):
        """Makes sure that there is a dialer for an address."""
        if not host or host == self.own_host or host in self.dialers:
            return
        if len(self.dialers) >= MAX_PEERS:
            return
        dialer = Dialer(self.context, host, self.port)
        if self.inbox.put_nowait(dialer):
            self.dialers[host] = dialer

    def post(self, host, message):
        """Sends a message; returns False if it was surely not sent."""
        self.add(host)
        dialer = self.dialers.get(host)
        return dialer is not None and dialer.post(message)

    async def run(self, nursery):
        """Starts the dialers."""
        async for dialer in self.inbox:
            nursery.start_soon(dialer.run)
