"""Messages of the link layer: envelope, handshake, keep-alive and failure.

Other modules register the messages of their own protocols.
"""

from wigeonport.codecs import message_kinds

FORMAT = 1
CALL = 1
REPLY = 2
ONEWAY = 4


@message_kinds.register("Envelope")
class Envelope:
    """Carries one encoded message over a link.

    Attributes:
        format: Version of the envelope format, ``FORMAT``.
        exchange: CALL, REPLY or ONEWAY.
        sequence: Number of the call that is made or answered; 0 for ONEWAY.
        lamport: Lamport counter of the sender.
        payload: The encoded message, as bytes.
    """

    __slots__ = ("format", "exchange", "sequence", "lamport", "payload")

    def __init__(self, exchange, sequence, lamport, payload):
        self.format = FORMAT
        self.exchange = exchange
        self.sequence = sequence
        self.lamport = lamport
        self.payload = payload


@message_kinds.register("Challenge")
class Challenge:
    """First frame of the accepting side.

    Attributes:
        format: Version of the link protocol, ``FORMAT``.
        nonce: Random bytes that enter the session key, so that a recorded
            handshake cannot be replayed.
    """

    __slots__ = ("format", "nonce")

    def __init__(self, nonce):
        self.format = FORMAT
        self.nonce = nonce


@message_kinds.register("Hello")
class Hello:
    """Names a side of the link and the key that it signs with.

    Attributes:
        node_id: Unique name of the process.
        availability_zone: Zone of its VM.
        cluster_id: Name of the deployment.
        key_id: Id of the shared key.
        nonce: Nonce of this side, as bytes.
    """

    __slots__ = (
        "node_id",
        "availability_zone",
        "cluster_id",
        "key_id",
        "nonce",
    )

    def __init__(self, node_id, availability_zone, cluster_id, key_id, nonce):
        self.node_id = node_id
        self.availability_zone = availability_zone
        self.cluster_id = cluster_id
        self.key_id = key_id
        self.nonce = nonce


@message_kinds.register("Ping")
class Ping:
    """Keep-alive of a side that had nothing else to send.

    Attributes:
        sent_ms: Time of sending on the sender's clock.
    """

    __slots__ = ("sent_ms",)

    def __init__(self, sent_ms):
        self.sent_ms = sent_ms


@message_kinds.register("Failure")
class Failure:
    """Answers a call that could not be handled.

    Attributes:
        reason: Why, as a short text.
    """

    __slots__ = ("reason",)

    def __init__(self, reason):
        self.reason = reason
