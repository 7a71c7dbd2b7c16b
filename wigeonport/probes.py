"""Probes: short-lived links that ask controls for a ReplicaReport."""

import trio

from wigeonport.channels import Mailbox, ask
from wigeonport.clocks import Clock, LamportCounter
from wigeonport.codecs import message_kinds
from wigeonport.consensus_requests import StatusRequest
from wigeonport.dialers import Dialer
from wigeonport.links import Identity, LinkContext
from wigeonport.messages import Failure
from wigeonport.metrics import Metrics

STATUS_TIMEOUT_MS = 1_000
PROBE_TIMEOUT_MS = 2_000
INBOUND_BOUND = 64


@message_kinds.register("ReplicaProbe")
class ReplicaProbe:
    """Asks a control for its ReplicaReport."""

    __slots__ = ()


@message_kinds.register("ReplicaReport")
class ReplicaReport:
    """Status of a replica.

    Attributes:
        replica_id: Id of the replica.
        leader_id: Id of the leader that it follows or that it is, or "".
        term: Its current term.
        last_index: Last index of its log.
    """

    __slots__ = ("replica_id", "leader_id", "term", "last_index")

    def __init__(self, replica_id, leader_id, term, last_index):
        self.replica_id = replica_id
        self.leader_id = leader_id
        self.term = term
        self.last_index = last_index


async def answer_probes(inbound, consensus):
    """Answers the probes that a control receives.

    Args:
        inbound: Mailbox of the deliveries.
        consensus: Inbox of the consensus task.
    """
    async for delivery in inbound:
        status = await ask(consensus, StatusRequest, STATUS_TIMEOUT_MS)
        if status.is_error():
            delivery.respond(Failure(status.error))
            continue
        replica_status = status.ok
        delivery.respond(
            ReplicaReport(
                replica_status.replica_id,
                replica_status.leader_id,
                replica_status.term,
                replica_status.last_index,
            )
        )


async def probe_peers(settings, keys):
    """Returns the ReplicaReports of all peers that answer in time."""
    identity = Identity(
        f"probe/{settings.node_id}",
        settings.availability_zone,
        settings.cluster_id,
        keys,
    )
    inbound = Mailbox("probes", INBOUND_BOUND)
    context = LinkContext(
        identity, inbound, Clock(), Metrics(), LamportCounter()
    )
    reports = []
    with trio.move_on_after(PROBE_TIMEOUT_MS / 1000):
        async with trio.open_nursery() as nursery:
            for peer in settings.peers:
                nursery.start_soon(probe, context, peer, reports)
    return reports


async def probe(context, peer, reports):
    """Appends the ReplicaReport of one peer to ``reports``."""
    link_opened = trio.Event()
    dialer = Dialer(
        context,
        peer.host,
        peer.control_links_port,
        lambda _: link_opened.set(),
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(dialer.run)
        await link_opened.wait()
        answer = await dialer.ask(ReplicaProbe(), PROBE_TIMEOUT_MS)
        if answer.is_ok() and isinstance(answer.ok, ReplicaReport):
            reports.append(answer.ok)
        nursery.cancel_scope.cancel()
