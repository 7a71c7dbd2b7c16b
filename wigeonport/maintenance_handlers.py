"""Handlers of the commands that concern grants, drains and pauses."""

from wigeonport.maintenance_answers import (
    DrainConfirmed,
    GrantEnded,
    GrantGiven,
    GrantRefused,
    MaintenanceChanged,
    WorkerReturned,
)
from wigeonport.maintenance_states import (
    MAX_HOLD_MS,
    MAX_LEASE_MS,
    Grant,
    Pause,
    grant_findings,
)
from wigeonport.state_answers import CommandRefused
from wigeonport.state_commands import (
    HANDLERS,
    ConfirmDrain,
    EndGrant,
    PauseMaintenance,
    RenewGrant,
    RequestGrant,
    ResumeMaintenance,
    ReturnWorker,
)


@HANDLERS.register(RequestGrant)
def handle_request_grant(state, command, now_ms):
    """Grants a lease if every pool stays within its availability budget."""
    maintenance = state.maintenance
    existing = maintenance.grants.get(command.grant)
    if existing is not None:
        return _answer_resend(existing, command)
    if command.grant in maintenance.ended:
        text = f"grant {command.grant!r} ended before"
        return GrantRefused(command.grant, [text])
    findings = grant_findings(state, command, now_ms)
    if findings:
        return GrantRefused(command.grant, findings)
    expires_ms = now_ms + command.lease_ms
    maintenance.grants[command.grant] = Grant(
        command.grant,
        sorted(command.workers),
        command.purpose,
        command.author,
        command.reason,
        now_ms,
        expires_ms,
        [],
    )
    return GrantGiven(command.grant, sorted(command.workers), expires_ms)


def _answer_resend(existing, command):
    is_same_request = (
        existing.purpose == command.purpose
        and existing.author == command.author
        and set(existing.workers) <= set(command.workers)
    )
    if is_same_request:
        return GrantGiven(
            existing.id, list(existing.workers), existing.expires_ms
        )
    text = f"grant id {existing.id!r} was used for another request"
    return GrantRefused(existing.id, [text])


def _refuse_not_live(id):
    return GrantRefused(id, [f"grant {id!r} is not live"])


@HANDLERS.register(RenewGrant)
def handle_renew_grant(state, command, now_ms):
    """Extends a lease that has not expired."""
    grant = state.maintenance.grants.get(command.grant)
    if grant is None:
        return _refuse_not_live(command.grant)
    if not 0 < command.lease_ms <= MAX_LEASE_MS:
        text = f"a lease takes 1 to {MAX_LEASE_MS} ms"
        return GrantRefused(command.grant, [text])
    grant.expires_ms = max(grant.expires_ms, now_ms + command.lease_ms)
    return GrantGiven(grant.id, list(grant.workers), grant.expires_ms)


@HANDLERS.register(ConfirmDrain)
def handle_confirm_drain(state, command, now_ms):
    """Records that a VM of a live lease no longer runs any work."""
    grant = state.maintenance.grants.get(command.grant)
    if grant is None:
        return _refuse_not_live(command.grant)
    if command.worker not in grant.workers:
        text = f"VM {command.worker!r} is not in grant {grant.id!r}"
        return GrantRefused(grant.id, [text])
    if command.worker not in grant.drained:
        grant.drained.append(command.worker)
    return DrainConfirmed(grant.id, command.worker)


@HANDLERS.register(EndGrant)
def handle_end_grant(state, command, now_ms):
    """Ends a lease; its VMs that are not back count as unavailable."""
    if command.grant not in state.maintenance.grants:
        return _refuse_not_live(command.grant)
    if not 0 <= command.hold_ms <= MAX_HOLD_MS:
        text = f"a hold takes 0 to {MAX_HOLD_MS} ms"
        return GrantRefused(command.grant, [text])
    missing = state.maintenance.end(
        command.grant, set(command.healthy), command.hold_ms, now_ms
    )
    return GrantEnded(command.grant, missing)


@HANDLERS.register(ReturnWorker)
def handle_return_worker(state, command, now_ms):
    """Marks a missing VM as back; it counts as available after its hold."""
    if command.worker not in state.maintenance.missing:
        return CommandRefused(f"VM {command.worker!r} is not missing")
    if not 0 <= command.hold_ms <= MAX_HOLD_MS:
        return CommandRefused(f"a hold takes 0 to {MAX_HOLD_MS} ms")
    until_ms = now_ms + command.hold_ms
    state.maintenance.hold(command.worker, until_ms)
    return WorkerReturned(command.worker, until_ms)


@HANDLERS.register(PauseMaintenance)
def handle_pause(state, command, now_ms):
    """Stops new maintenance grants; live leases are not affected."""
    pause = Pause(command.author, command.reason, now_ms)
    state.maintenance.pauses.setdefault(command.scope, pause)
    return MaintenanceChanged(command.scope, True)


@HANDLERS.register(ResumeMaintenance)
def handle_resume(state, command, now_ms):
    """Allows new maintenance grants again."""
    state.maintenance.pauses.pop(command.scope, None)
    return MaintenanceChanged(command.scope, False)
