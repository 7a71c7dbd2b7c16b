"""Links to controls that are identified by their IP addresses only.

The IP address of such a control is also its node name. All controls of a
deployment listen for links on the same port.
"""

from wigeonport.channels import REFUSE, Mailbox
from wigeonport.dialers import Dialer

# Maximum number of controls of a deployment, including those that were
# replaced since this process started.
MAX_PEERS = 64


class PeerLinks:
    """Keeps a link to each control whose address was added.

    Attributes:
        context: LinkContext of the process.
        own_host: Address of this process.
        port: TCP port on which all controls accept links.
        dialers: Maps the address of a control to its Dialer.
        inbox: Mailbox of Dialers that have not been started.
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
        """Creates a dialer for an address unless there is one."""
        if not host or host == self.own_host or host in self.dialers:
            return
        if len(self.dialers) >= MAX_PEERS:
            return
        dialer = Dialer(self.context, host, self.port)
        if self.inbox.put_nowait(dialer):
            self.dialers[host] = dialer

    def post(self, host, message):
        """Sends a message; returns False if it was certainly not sent."""
        self.add(host)
        dialer = self.dialers.get(host)
        return dialer is not None and dialer.post(message)

    async def run(self, nursery):
        """Starts each new dialer in a nursery."""
        async for dialer in self.inbox:
            nursery.start_soon(dialer.run)
