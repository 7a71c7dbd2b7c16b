"""Handlers of the messages to the batch controller."""

from wigeonport.advisors import AdviceAnswered
from wigeonport.batch_calls import (
    NOT_LEADING,
    PROBE,
    UNAUTHORIZED,
    BatchReply,
)
from wigeonport.batch_commands import AdoptRoutes, OpenWave
from wigeonport.batch_dispatchers import BatchDispatcher
from wigeonport.batch_messages import (
    CallReceived,
    Loaded,
    ProposalEnded,
    ReportReceived,
    RoutesAsked,
    RoutesStated,
    StopAsked,
    WaveAsked,
    WaveStated,
)
from wigeonport.consensus_requests import LeadershipNotice
from wigeonport.logs import PartLogger
from wigeonport.machine_orders import MachineAnswered, MachineListed
from wigeonport.registries import Registry
from wigeonport.replica_events import COMMITTED
from wigeonport.replication_messages import node_of

logger = PartLogger("batch")

# Below the maximum payload of a log entry, 512 KiB, with the fields around it.
MAX_TABLE_BYTES = 500 * 1024

controller_inputs = Registry("batch controller input")


def dispatch(controller, event):
    """Handles an event and returns its answer, or None."""
    return controller_inputs.entries[type(event)](controller, event)


@controller_inputs.register(MachineListed)
def on_machines_listed(controller, event):
    """Passes the platform's list of machines to the MachineManager."""
    if controller.machines is not None:
        if controller.dispatcher is not None:
            controller.dispatcher.wall_ms = controller.clock.wall()
        controller.machines.handle_machine_list(controller.dispatcher, event)


@controller_inputs.register(MachineAnswered)
def on_machine_answered(controller, event):
    """Passes the platform's answer to an order to the MachineManager."""
    dispatcher = controller.dispatcher
    if dispatcher is not None and event.term == controller.term:
        dispatcher.wall_ms = controller.clock.wall()
        controller.machines.handle_answer(
            dispatcher, event, controller.clock.now()
        )


@controller_inputs.register(AdviceAnswered)
def on_advice(controller, event):
    """Passes the tickets of an answer to the Advisor."""
    if controller.dispatcher is not None:
        controller.dispatcher.wall_ms = controller.clock.wall()
    controller.advisor.handle_answer(
        controller.dispatcher, event, controller.clock.now()
    )


@controller_inputs.register(LeadershipNotice)
def on_leadership(controller, notice):
    """Records a new leader or term.

    Starts to load the state if this node is the new leader.
    """
    controller.leader_node = (
        node_of(notice.leader_id) if notice.leader_id else ""
    )
    if controller.dispatcher is not None and (
        notice.term != controller.term
        or controller.leader_node != controller.node
    ):
        controller.stop_dispatching("another replica is the leader")
    controller.term = notice.term
    if controller.leader_node != controller.node:
        return
    if controller.stopping:
        controller.nursery.start_soon(controller.resign)
    else:
        controller.nursery.start_soon(controller.load, notice.term)


@controller_inputs.register(StopAsked)
def on_stop_asked(controller, event):
    """Stops dispatching and transfers leadership to another replica."""
    controller.stopping = True
    if controller.leader_node == controller.node:
        controller.stop_dispatching("the process is stopping")
        controller.nursery.start_soon(controller.resign)


@controller_inputs.register(Loaded)
def on_loaded(controller, loaded):
    """Starts dispatching with the loaded copy of the state."""
    if loaded.term != controller.term or controller.dispatcher is not None:
        return
    if controller.leader_node != controller.node or controller.stopping:
        return
    now_ms = controller.clock.now()
    controller.dispatcher = BatchDispatcher(
        loaded.state, controller.settings, loaded.term, now_ms
    )
    controller.committed = controller.sequence
    if controller.machines is not None:
        controller.machines.start_term(now_ms)
    logger.info(
        "Dispatching started.",
        term=loaded.term,
        jobs=len(controller.dispatcher.active),
        version=loaded.state.routes.table.version,
    )


@controller_inputs.register(ProposalEnded)
def on_proposal_ended(controller, ended):
    """Records a commit; any other outcome stops dispatching."""
    if ended.term != controller.term or controller.dispatcher is None:
        return
    if ended.outcome == COMMITTED:
        controller.committed = max(controller.committed, ended.sequence)
    elif ended.sequence > controller.committed:
        controller.stop_dispatching(f"{ended.outcome}: {ended.reason}")


@controller_inputs.register(ReportReceived)
def on_report(controller, event):
    """Returns the orders for a worker that sent a heartbeat."""
    if controller.dispatcher is None:
        return controller.redirect()
    controller.metrics.count("batch_heartbeats")
    return controller.dispatcher.on_report(
        event.report, controller.clock.now(), controller.clock.wall()
    )


@controller_inputs.register(CallReceived)
def on_call(controller, event):
    """Handles a caller's request about batch jobs."""
    if controller.dispatcher is None:
        return BatchReply(NOT_LEADING, leader=controller.redirect().host)
    controller.metrics.count("batch_calls")
    reply = controller.dispatcher.on_call(event.call, controller.clock.wall())
    if event.call.verb == PROBE:
        return reply
    if reply.outcome == UNAUTHORIZED:
        controller.metrics.count("calls_unauthorized")
        controller.key_refusals.record(reply.detail, controller.clock.now())
        return reply
    logger.info(
        "Batch call handled.",
        request=event.call.request_id,
        verb=event.call.verb,
        path=event.call.path,
        outcome=reply.outcome,
        detail=reply.detail,
        version=controller.dispatcher.state.routes.table.version,
        term=controller.term,
    )
    return reply


@controller_inputs.register(RoutesStated)
def on_routes_stated(controller, event):
    """Adopts a routing table if its version is higher."""
    dispatcher = controller.dispatcher
    if dispatcher is None:
        return controller.redirect()
    table = event.table
    current = dispatcher.state.routes.table.version
    logger.info(
        "Routing table received.", version=table.version, current=current
    )
    if table.version > current:
        data = table.to_bytes()
        if len(data) > MAX_TABLE_BYTES:
            logger.warning(
                "Routing table refused.",
                version=table.version,
                reason="it is too large for the log",
                size_bytes=len(data),
            )
            return False
        dispatcher.wall_ms = controller.clock.wall()
        dispatcher.record(AdoptRoutes(table.version, data))
    return True


@controller_inputs.register(RoutesAsked)
def on_routes_asked(controller, event):
    """Returns the routing table in force."""
    if controller.dispatcher is None:
        return controller.redirect()
    return controller.dispatcher.state.routes.table


@controller_inputs.register(WaveStated)
def on_wave_stated(controller, event):
    """Records an upkeep wave of the operator."""
    dispatcher = controller.dispatcher
    if dispatcher is None:
        return controller.redirect()
    dispatcher.wall_ms = controller.clock.wall()
    logger.info(
        "Upkeep wave received.",
        wave=event.number,
        machines=len(event.machines),
    )
    dispatcher.record(
        OpenWave(
            event.number,
            event.machines,
            dispatcher.wall_ms + event.duration_ms,
            event.max_count,
        )
    )
    return True


@controller_inputs.register(WaveAsked)
def on_wave_asked(controller, event):
    """Returns the wave with a number, or None if there is none."""
    if controller.dispatcher is None:
        return controller.redirect()
    return controller.dispatcher.state.upkeep.waves.get(event.number)
