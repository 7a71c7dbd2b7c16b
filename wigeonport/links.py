"""Types shared by the links between processes."""

from wigeonport.codecs import codecs
from wigeonport.messages import ONEWAY, REPLY


class Identity:
    """Who this process is on its links.

    Attributes:
        node_id: Unique name of the process.
        availability_zone: Zone of its VM.
        cluster_id: Name of the deployment; others are refused.
        keys: Shared keys by key id; the first one signs outgoing links.
    """

    __slots__ = ("node_id", "availability_zone", "cluster_id", "keys")

    def __init__(self, node_id, availability_zone, cluster_id, keys):
        self.node_id = node_id
        self.availability_zone = availability_zone
        self.cluster_id = cluster_id
        self.keys = keys


class LinkError:
    """Why a call has no answer.

    Attributes:
        text: A short sentence.
        sent: Whether the call may have reached the other side.
    """

    __slots__ = ("text", "sent")

    def __init__(self, text, sent):
        self.text = text
        self.sent = sent

    def __str__(self):
        return self.text


class Delivery:
    """A message that arrived over a link.

    Attributes:
        message: The decoded message.
        peer: Hello of the other side.
        session: Session over which it came.
        sequence: Number of the call, 0 if no answer is expected.
    """

    __slots__ = ("message", "peer", "session", "sequence")

    def __init__(self, message, peer, session, sequence):
        self.message = message
        self.peer = peer
        self.session = session
        self.sequence = sequence

    def respond(self, message):
        """Answers the call; returns False if the link is gone."""
        return self.session.submit(Outgoing(message, REPLY, self.sequence))

    def push(self, message):
        """Sends a message of its own over the same link."""
        return self.session.submit(Outgoing(message, ONEWAY, 0))


class LinkClosed:
    """Tells the inbound mailbox that a session ended."""

    __slots__ = ("peer", "session")

    def __init__(self, peer, session):
        self.peer = peer
        self.session = session


class Outgoing:
    """A message to send over a session.

    Attributes:
        message: The message.
        exchange: CALL, REPLY or ONEWAY.
        sequence: Number of the call that is answered, else 0.
        reply: Reply channel of a CALL, else None.
    """

    __slots__ = ("message", "exchange", "sequence", "reply")

    def __init__(self, message, exchange, sequence=0, reply=None):
        self.message = message
        self.exchange = exchange
        self.sequence = sequence
        self.reply = reply


class Received:
    """An envelope and its decoded message, from the reader to the owner."""

    __slots__ = ("envelope", "message")

    def __init__(self, envelope, message):
        self.envelope = envelope
        self.message = message


class LinkContext:
    """What all links of a process share.

    Attributes:
        identity: Identity of this process.
        inbound: Mailbox for deliveries.
        clock: Time source.
        metrics: Metrics of the process.
        lamport: LamportCounter of the process.
        codec: Codec of the payloads.
    """

    __slots__ = (
        "identity",
        "inbound",
        "clock",
        "metrics",
        "lamport",
        "codec",
    )

    def __init__(self, identity, inbound, clock, metrics, lamport):
        self.identity = identity
        self.inbound = inbound
        self.clock = clock
        self.metrics = metrics
        self.lamport = lamport
        self.codec = codecs.get("thrift").ok()
