"""The tasks of the program that decides on batch jobs, and their connections.

Entries do not import this module: they need neither the replicated log nor the
decisions, whose modules took 80 ms of each start.

The function that speaks a wire format is passed in as ``serve_edge``.
"""

import pathlib
import random

import trio

from wigeonport.batch_calls import BatchCall
from wigeonport.batch_controllers import BatchController, forward_leadership
from wigeonport.batch_messages import CallReceived, StopAsked
from wigeonport.batch_programs import (
    make_batch_settings,
    make_links,
    reload_settings,
    serve_metrics,
    split_address,
)
from wigeonport.channels import DROP_OLDEST, Mailbox
from wigeonport.client_limits import derive_log_bytes
from wigeonport.consensus import Consensus
from wigeonport.control_main import (
    make_replica_settings,
    open_replica_when_space,
)
from wigeonport.dialers import listen
from wigeonport.links import LinkClosed
from wigeonport.state_commands import RecordBatch
from wigeonport.states import ReplicatedState, state_from_document

NOTICES_BOUND = 1_024


class LinkReply:
    """Reply channel that sends the answer over the link of the call.

    Attributes:
        delivery: Delivery of the call.
    """

    __slots__ = ("delivery",)

    def __init__(self, delivery):
        self.delivery = delivery

    def send(self, message):
        """Sends the answer; returns False if the link is closed."""
        return self.delivery.respond(message)

    def is_abandoned(self):
        """Returns False, because the other end does not say so."""
        return False


async def route_batch_deliveries(inbound, consensus, controller):
    """Passes each message to the controller or to the consensus task."""
    async for delivery in inbound:
        if isinstance(delivery, LinkClosed):
            continue
        message = delivery.message
        if isinstance(message, BatchCall):
            await controller.put(CallReceived(message, LinkReply(delivery)))
        else:
            await consensus.put(message)


def make_batch_consensus(program, links, storage):
    """Returns the consensus task of a control for batch jobs.

    Args:
        program: Program.
        links: PeerLinks.
        storage: OpenedStorage of the replica.
    """
    settings = program.settings
    replica = make_replica_settings(settings)
    replica.may_form_cluster = settings.forms_cluster
    directory = settings.data_dir
    return Consensus(
        storage,
        None if directory is None else pathlib.Path(directory),
        settings.voters,
        ReplicatedState(),
        state_from_document,
        links.post,
        program.clock,
        program.metrics,
        replica,
        random_source=random.Random(),
        snapshot_entries=settings.snapshot_entries,
        # Batches are as frequent as task starts, and no observer needs them.
        unobserved_commands=(RecordBatch,),
        snapshot_bytes=derive_log_bytes(program.machine),
    )


async def forward_stop(stopping, controller):
    """Sends StopAsked to the controller when the process stops."""
    await stopping.wait()
    await controller.put(StopAsked())


async def run_batch_control(
    program, serve_edge, load, make_machines=None, make_advisor=None
):
    """Runs a control for batch jobs until it has stopped.

    Args:
        program: Program.
        serve_edge: Async function ``(program, controller, address)`` that
            serves workers and operators until the program has stopped.
        load: Function that reads the settings again and returns a Result of
            Settings.
        make_machines: Function ``(program, url)`` that returns the
            MachineManager; called only if ``machines_url`` is set.
        make_advisor: Function ``(program, url)`` that returns the Advisor;
            called only if ``advice_url`` is set.
    """
    settings = program.settings
    inbound = Mailbox("deliveries", settings.mailbox_bound)
    context = program.link_context(inbound)
    links = make_links(settings, context)
    storage = await open_replica_when_space(program)
    consensus = make_batch_consensus(program, links, storage)
    notices = Mailbox("notices", NOTICES_BOUND, DROP_OLDEST)
    consensus.observers.append(notices)
    machines = advisor = None
    if make_machines is not None and settings.machines_url is not None:
        machines = make_machines(program, settings.machines_url)
    if make_advisor is not None and settings.advice_url is not None:
        advisor = make_advisor(program, settings.advice_url)
    controller = BatchController(
        consensus.inbox,
        settings.node_id,
        make_batch_settings(program),
        program.clock,
        program.metrics,
        machines,
        advisor,
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(links.run, nursery)
        nursery.start_soon(reload_settings, program, links, load)
        nursery.start_soon(serve_metrics, program)
        await nursery.start(controller.run)
        nursery.start_soon(forward_leadership, notices, controller.inbox)
        nursery.start_soon(forward_stop, program.stopping, controller.inbox)
        await nursery.start(consensus.run)
        await nursery.start(
            listen, context, settings.host, settings.control_links_port
        )
        nursery.start_soon(
            route_batch_deliveries, inbound, consensus.inbox, controller.inbox
        )
        if machines is not None:
            nursery.start_soon(machines.run, controller.inbox)
        if advisor is not None:
            nursery.start_soon(advisor.run, controller.inbox)
        await serve_edge(
            program, controller, split_address(settings.workers_listen)
        )
        nursery.cancel_scope.cancel()
