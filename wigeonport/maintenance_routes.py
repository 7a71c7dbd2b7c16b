"""Routes by which operators read and control maintenance."""

from wigeonport.channels import ask
from wigeonport.documents import Field, Reporter, read_fields
from wigeonport.fleet_states import parse_json
from wigeonport.maintenance_answers import GrantRefused
from wigeonport.maintenance_states import ALL_POOLS, MAX_HOLD_MS
from wigeonport.operator_routes import (
    operator_routes,
    respond_read,
    respond_refused,
    respond_undecided,
)
from wigeonport.servers import respond_json
from wigeonport.state_answers import CommandRefused
from wigeonport.state_commands import (
    ConfirmDrain,
    EndGrant,
    PauseMaintenance,
    RequestGrant,
    ResumeMaintenance,
    ReturnWorker,
)
from wigeonport.state_queries import MaintenanceQuery
from wigeonport.state_requests import (
    COMMITTED,
    NOT_RUN,
    Decision,
    VmHealthQuery,
)

PAUSE_FIELDS = (
    Field("scope", "name", ALL_POOLS),
    Field("reason", "text", ""),
)
GRANT_FIELDS = (
    Field("grant", "name"),
    Field("workers", "names"),
    Field("purpose", "name", "drain"),
    Field("reason", "text", ""),
    Field("lease_ms", "whole", None, least=1),
)
DRAINED_FIELDS = (Field("grant", "name"), Field("worker", "name"))
END_FIELDS = (
    Field("grant", "name"),
    Field("healthy", "names", ()),
    Field("hold_ms", "whole", None, least=0, most=MAX_HOLD_MS),
)
RETURN_FIELDS = (
    Field("worker", "name"),
    Field("hold_ms", "whole", None, least=0, most=MAX_HOLD_MS),
)


@operator_routes.register(("GET", "/v1/maintenance"))
async def show_maintenance(control, request):
    """Returns grants, pauses, pending moves and availability budgets."""
    return await respond_read(control, MaintenanceQuery())


def maintenance_route(path, fields):
    """Returns a decorator that registers a POST route under /v1/maintenance/.

    The decorated function makes a command from a validated body. It takes
    the control, the request and the values of the fields, and returns the
    command to propose, or a Decision that nothing is proposed.

    Args:
        path: Last part of the path.
        fields: Field list of the JSON body.
    """

    def decorate(make_command):
        @operator_routes.register(("POST", f"/v1/maintenance/{path}"))
        async def handle(control, request):
            parsed = parse_json(request.body)
            if parsed.is_error():
                return respond_refused(400, [parsed.error])
            reporter = Reporter()
            values = read_fields(fields, parsed.ok, (), reporter)
            if values is None:
                return respond_refused(422, reporter.findings.lines())
            command = await make_command(control, request, values)
            if isinstance(command, Decision):
                return respond_undecided(command)
            return await propose(control, command)

        return make_command

    return decorate


async def propose(control, command):
    """Proposes a command and returns the HTTP response to its answer."""
    decision = await control.state_client.propose(command)
    if decision.outcome != COMMITTED:
        return respond_undecided(decision)
    answer = decision.answer
    if isinstance(answer, GrantRefused):
        return respond_refused(409, answer.findings)
    if isinstance(answer, CommandRefused):
        return respond_refused(409, [answer.why])
    return respond_json(200, {"outcome": "done", **answer.to_document()})


@maintenance_route("pause", PAUSE_FIELDS)
async def pause(control, request, values):
    """Stops new maintenance grants."""
    return PauseMaintenance(
        values["scope"], request.operator, values["reason"]
    )


@maintenance_route("resume", PAUSE_FIELDS)
async def resume(control, request, values):
    """Allows maintenance grants again."""
    return ResumeMaintenance(
        values["scope"], request.operator, values["reason"]
    )


@maintenance_route("grant", GRANT_FIELDS)
async def grant(control, request, values):
    """Requests a grant; the command lists the VMs known as unavailable.

    Nothing is proposed without the planner's report on the health of the
    VMs, or for a VM without a recent report.
    """
    health_answer = await ask(
        control.health, VmHealthQuery, control.state_client.timeout_ms
    )
    health = health_answer.default_value(None)
    if health is None:
        reason = "this control has no report on the health of the VMs"
        return Decision(NOT_RUN, reason=reason)
    not_reporting = sorted(set(values["workers"]) & set(health.not_reporting))
    if not_reporting:
        reason = f"VMs without a recent report: {', '.join(not_reporting)}"
        return Decision(NOT_RUN, reason=reason)
    lease_ms = values["lease_ms"] or control.settings.grant_lease_ms
    return RequestGrant(
        values["grant"],
        values["workers"],
        values["purpose"],
        request.operator,
        values["reason"],
        lease_ms,
        sorted(health.unavailable),
    )


@maintenance_route("drained", DRAINED_FIELDS)
async def confirm_drain(control, request, values):
    """Reports that a VM is drained: no task runs on it any more."""
    return ConfirmDrain(values["grant"], values["worker"])


@maintenance_route("end", END_FIELDS)
async def end(control, request, values):
    """Ends a grant; VMs not named as healthy stay missing."""
    hold_ms = _read_hold_ms(control, values)
    return EndGrant(values["grant"], list(values["healthy"]), hold_ms)


@maintenance_route("return", RETURN_FIELDS)
async def return_worker(control, request, values):
    """Reports that a missing VM is back."""
    return ReturnWorker(values["worker"], _read_hold_ms(control, values))


def _read_hold_ms(control, values):
    if values["hold_ms"] is None:
        return control.settings.return_hold_ms
    return values["hold_ms"]
