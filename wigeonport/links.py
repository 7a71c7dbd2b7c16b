"""Types shared by the modules that implement links between processes."""

from wigeonport.codecs import codecs
from wigeonport.messages import ONEWAY, REPLY


class Identity:
    """Identifies this process to the processes that it is linked to.

    Attributes:
        node_id: Unique name of the process.
        availability_zone: Zone of its VM.
        cluster_id: Name of the deployment; processes of another one are
            refused.
        keys: Maps key id to shared key; the first key signs the links that
            this process opens.
    """

    __slots__ = ("node_id", "availability_zone", "cluster_id", "keys")

    def __init__(self, node_id, availability_zone, cluster_id, keys):
        self.node_id = node_id
        self.availability_zone = availability_zone
        self.cluster_id = cluster_id
        self.keys = keys


class LinkError:
    """Why a link was not established or a call got no answer.

    Attributes:
        text: The reason, as a short text.
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
        sequence: Number of the call, or 0 if no answer is expected.
    """

    __slots__ = ("message", "peer", "session", "sequence")

    def __init__(self, message, peer, session, sequence):
        self.message = message
        self.peer = peer
        self.session = session
        self.sequence = sequence

    def respond(self, message):
        """Answers the call; returns False if the link cannot send it."""
        return self.session.submit(Outgoing(message, REPLY, self.sequence))

    def push(self, message):
        """Sends a message that is no answer over the same link.

        Returns False if the link cannot send it.
        """
        return self.session.submit(Outgoing(message, ONEWAY, 0))


class LinkClosed:
    """Tells the inbound mailbox that a session ended.

    Attributes:
        peer: Hello of the other side.
        session: The session.
    """

    __slots__ = ("peer", "session")

    def __init__(self, peer, session):
        self.peer = peer
        self.session = session


class Outgoing:
    """A message to send over a session.

    Attributes:
        message: The message.
        exchange: CALL, REPLY or ONEWAY.
        sequence: For a REPLY the number of the call, else 0.
        reply: For a CALL the Reply that gets the answer, else None.
    """

    __slots__ = ("message", "exchange", "sequence", "reply")

    def __init__(self, message, exchange, sequence=0, reply=None):
        self.message = message
        self.exchange = exchange
        self.sequence = sequence
        self.reply = reply


class Received:
    """An envelope and its decoded message, sent from reader to owner."""

    __slots__ = ("envelope", "message")

    def __init__(self, envelope, message):
        self.envelope = envelope
        self.message = message


class LinkContext:
    """Objects that all links of a process share.

    Attributes:
        identity: Identity of this process.
        inbound: Mailbox that gets every Delivery and LinkClosed.
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
