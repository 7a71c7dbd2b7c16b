"""Tests of the planner together with the replicated state."""

import json

import pytest

from wigeonport.plan_events import (
    CommandConfirmed,
    CommandRefused,
    VmReported,
)
from wigeonport.plan_proposals import find_refusal_reason, make_proposals
from wigeonport.state_commands import EndGrant, RequestGrant, SubmitPatch
from wigeonport.states import Entry, ReplicatedState
from wigeonport.view_builders import build_fleet_loaded, find_due_ms
from wigeonport.views import DRAINED, READY

ZONES = ("ikeja", "lekki", "yaba")
POOLS = ("roster", "notices")


class Log:
    """A replicated state that applies each proposal at once."""

    __slots__ = ("state", "clock")

    def __init__(self, clock):
        self.state = ReplicatedState()
        self.clock = clock

    def apply(self, command):
        """Applies one command; returns the answer."""
        index = self.state.applied_index + 1
        return self.state.apply(Entry(index, self.clock.now(), command))

    def patch(self, operations, author="operator"):
        """Submits a patch against the current version."""
        version = self.state.fleet.fleet.version
        document = {
            "id": f"patch-{version}-{author}",
            "against_version": version,
            "author": author,
            "reason": "test",
            "operations": operations,
        }
        answer = self.apply(SubmitPatch(json.dumps(document)))
        assert not find_refusal_reason(answer), answer.findings


def fleet_operations():
    """Yields the operations of a patch that builds a small fleet."""
    yield {"operation": "add_region", "id": "lagos"}
    for zone in ZONES:
        yield {"operation": "add_zone", "id": zone, "region": "lagos"}
        yield {"operation": "add_rack", "id": f"{zone}-1", "zone": zone}
    for pool, promised in zip(POOLS, (5, 2), strict=True):
        yield {"operation": "add_pool", "id": pool}
        for number in range(6):
            yield {
                "operation": "add_worker",
                "id": f"{pool}-{number}",
                "zone": ZONES[number % 3],
                "rack": f"{ZONES[number % 3]}-1",
                "processors": 16,
                "memory_mb": 32_768,
                "pool": pool,
            }
        yield {
            "operation": "add_service",
            "id": pool,
            "pool": pool,
            "capacity_workers": promised,
            "max_unavailable": 6 - promised,
        }
    yield {"operation": "set_spare_pool", "pool": "notices"}


@pytest.fixture
def log(clock):
    """A replicated state with a small fleet."""
    log = Log(clock)
    log.patch(list(fleet_operations()))
    return log


@pytest.fixture
def logged_run(make_run, log):
    """A planner run whose fleet was read from the replicated state."""
    run = make_run()
    run.step(build_fleet_loaded(log.state, 0))
    run.tick()
    return run


def execute_commands(run, log, commands):
    """Executes commands and all that follow from their answers.

    Returns the commands and the reasons of refusals as texts, in order.
    """
    done = []
    while commands:
        command = commands.pop(0)
        done.append(str(command))
        refusal = ""
        now_ms = run.clock.now()
        for item in make_proposals(command, run.view, log.state, now_ms):
            refusal = find_refusal_reason(log.apply(item))
        for state in REPORTED_STATES.get(command.kind, ()):
            sequence = run.view.fleet.vms[command.vm].sequence + 1
            report = VmReported(command.vm, state, sequence)
            commands.extend(run.step(report))
        event = CommandConfirmed(command.command_id)
        if refusal:
            event = CommandRefused(command.command_id, refusal)
            done.append(refusal)
        commands.extend(run.step(event))
    return done


REPORTED_STATES = {
    "drain_vm": (DRAINED,),
    "reboot_vm": ("rebooting", READY),
    "prepare_vm": (READY,),
    "undrain_vm": (READY,),
}


def kinds(texts):
    """Returns the kinds of commands that are given as texts."""
    return [text.split()[0] for text in texts]


def test_maintenance_goes_through_the_log(logged_run, log, clock):
    """Fails if a VM is rebooted without a grant in the replicated state.

    Other controls would not know that the VM is unavailable and could grant
    the same budget again.
    """
    vm = logged_run.view.fleet.vms["roster-0"]
    vm.due_ms = clock.now()
    done = execute_commands(logged_run, log, logged_run.tick())
    steps = [kind for kind in kinds(done) if kind != "report_reserve"]
    assert steps == ["request_grant", "drain_vm", "reboot_vm", "release_grant"]
    assert log.state.maintenance.maintained == {"roster-0": clock.now()}
    assert not log.state.maintenance.grants


def test_loan_is_a_patch_and_a_move(logged_run, log):
    """Fails if a borrowed VM keeps its old pool in the fleet version.

    A planner that reads the version again would then send the VM back, or
    would not know its lender.
    """
    for number in (0, 1):
        report = VmReported(f"roster-{number}", "failed", 1)
        commands = logged_run.step(report)
    execute_commands(logged_run, log, commands)
    lent = [
        worker
        for worker, pool in log.state.pools.pools.items()
        if pool == "roster" and worker.startswith("notices")
    ]
    assert len(lent) == 1
    assert log.state.fleet.fleet.workers[lent[0]].pool == "roster"
    rebuilt = build_fleet_loaded(log.state, 0).fleet.vms[lent[0]]
    assert (rebuilt.pool, rebuilt.lender) == ("roster", "notices")


def test_operator_move_is_no_loan(log):
    """Fails if a VM that an operator moved counts as lent by the planner.

    The planner would return it to the spare pool, against the operator.
    """
    log.patch(
        [{"operation": "move_worker", "worker": "notices-0", "pool": "roster"}]
    )
    vm = build_fleet_loaded(log.state, 0).fleet.vms["notices-0"]
    assert (vm.pool, vm.home_pool, vm.lender) == ("notices", "roster", "")


def test_vm_moves_to_the_pool_of_a_new_version(logged_run, log):
    """Fails if a VM stays in its old pool after a version moves it."""
    log.patch(
        [{"operation": "move_worker", "worker": "notices-0", "pool": "roster"}]
    )
    commands = logged_run.step(build_fleet_loaded(log.state, 0))
    execute_commands(logged_run, log, commands)
    assert log.state.pools.pools["notices-0"] == "roster"


def test_removed_vm_is_drained_before_it_leaves(logged_run, log):
    """Fails if a VM that a version removes leaves before it has drained.

    Its running work would be cut off. It must not be prepared either, since
    it enters no other pool.
    """
    log.patch([{"operation": "remove_worker", "id": "notices-0"}])
    commands = logged_run.step(build_fleet_loaded(log.state, 0))
    done = kinds(execute_commands(logged_run, log, commands))
    assert done.index("drain_vm") < done.index("move_vm")
    assert "prepare_vm" not in done
    assert "notices-0" not in log.state.pools.pools
    assert "notices-0" not in logged_run.view.fleet.vms
    logged_run.tick()


def test_pool_is_emptied_before_it_disappears(logged_run, log):
    """Fails if VMs are lost with a pool that a version removes.

    The version no longer lists the pool while its VMs are still in it; they
    have to move out first.
    """
    operations = [
        {
            "operation": "move_worker",
            "worker": f"notices-{n}",
            "pool": "roster",
        }
        for n in range(6)
    ]
    operations.append({"operation": "remove_service", "id": "notices"})
    operations.append({"operation": "set_spare_pool", "pool": None})
    operations.append({"operation": "remove_pool", "id": "notices"})
    log.patch(operations)
    commands = logged_run.step(build_fleet_loaded(log.state, 0))
    execute_commands(logged_run, log, commands)
    assert set(log.state.pools.pools.values()) == {"roster"}


def test_new_leader_continues_live_grants(make_run, logged_run, log, clock):
    """Fails if a granted VM is left as it is after a change of leader.

    The former leader got the grant but did not drain the VM; the successor
    knows only the replicated state.
    """
    logged_run.view.fleet.vms["roster-0"].due_ms = clock.now()
    request = logged_run.tick()[0]
    for item in make_proposals(
        request, logged_run.view, log.state, clock.now()
    ):
        assert not find_refusal_reason(log.apply(item))
    successor = make_run()
    commands = successor.step(build_fleet_loaded(log.state, 0))
    assert "drain_vm" in kinds(execute_commands(successor, log, commands))
    assert "roster-0" in log.state.maintenance.maintained


def test_drain_is_kept_until_the_operator_ends_it(logged_run, log, clock):
    """Fails if the planner ends a drain that an operator requested.

    The VM must stay drained until the operator ends the grant, and must take
    work again after that.
    """
    request = RequestGrant("g", ["roster-0"], "drain", "op", "", 60_000, [])
    assert not find_refusal_reason(log.apply(request))
    commands = logged_run.step(build_fleet_loaded(log.state, 0))
    assert "drain_vm" in kinds(execute_commands(logged_run, log, commands))
    assert log.state.maintenance.grants["g"].drained == ["roster-0"]
    assert "undrain_vm" not in kinds(as_texts(logged_run.tick(5_000)))
    log.apply(EndGrant("g", ["roster-0"], 0))
    commands = logged_run.step(build_fleet_loaded(log.state, 0))
    done = kinds(execute_commands(logged_run, log, commands))
    assert "undrain_vm" in done
    assert "release_grant" not in done


def as_texts(commands):
    """Returns the commands as texts."""
    return [str(command) for command in commands]


def test_refused_grant_frees_the_vm(logged_run, log, clock):
    """Fails if an operation waits forever for a grant that was refused."""
    logged_run.view.fleet.vms["roster-0"].due_ms = clock.now()
    request = logged_run.tick()[0]
    logged_run.step(CommandRefused(request.command_id, "paused"))
    assert "roster-0" not in logged_run.view.operations


def test_weights_and_period_come_from_the_version(logged_run, log):
    """Fails if weights or a period set by an operator have no effect."""
    log.patch(
        [
            {"operation": "set_weights", "roll_out_time": 7.0},
            {"operation": "set_maintenance_period", "hours": 48},
        ]
    )
    logged_run.step(build_fleet_loaded(log.state, 0))
    settings = logged_run.view.settings
    assert settings.weight_rollout == 7
    assert settings.maintenance_period_ms == 48 * 3_600_000


def test_due_times_of_new_vms_are_spread():
    """Fails if all VMs of a new fleet are due for maintenance at once.

    They were never maintained, so their due times come from their ids.
    """
    period_ms = 14 * 86_400_000
    now_ms = 10 * period_ms
    due = [find_due_ms(f"vm-{n}", now_ms, None, period_ms) for n in range(100)]
    assert all(now_ms <= each < now_ms + period_ms for each in due)
    first_half_count = sum(each < now_ms + period_ms // 2 for each in due)
    assert 30 < first_half_count < 70


def test_closed_window_stops_requests_until_it_opens(logged_run, log, clock):
    """Fails if a grant refused outside its window is requested each second."""
    minute = clock.now() // 60_000
    windows = [
        {
            "operation": "add_window",
            "id": f"night-{zone}",
            "zone": zone,
            "start_minute": (minute + 60) % 1_440,
            "duration_minutes": 30,
        }
        for zone in ZONES
    ]
    log.patch(windows)
    logged_run.view.fleet.vms["roster-0"].due_ms = clock.now()
    asked = kinds(execute_commands(logged_run, log, logged_run.tick()))
    assert asked.count("request_grant") == 1
    again = kinds(execute_commands(logged_run, log, logged_run.tick(1_000)))
    assert "request_grant" not in again
    logged_run.step(build_fleet_loaded(log.state, 0))
    vm = logged_run.view.fleet.vms["roster-0"]
    assert vm.closed_until_ms >= 60 * 60_000


def test_operators_drain_ends_without_a_reboot(logged_run, log, clock):
    """Fails if an operator's grant is not followed by a drain.

    The VM must drain, stay drained while the grant is live, and return to
    work without a reboot after the grant has ended.
    """
    granted = log.apply(
        RequestGrant(
            "by-hand", ["roster-0"], "drain", "ada", "disk", 60_000, []
        )
    )
    assert not find_refusal_reason(granted)
    started = logged_run.step(build_fleet_loaded(log.state, 0))
    done = kinds(execute_commands(logged_run, log, started))
    done += kinds(execute_commands(logged_run, log, logged_run.tick()))
    assert [kind for kind in done if "report" not in kind] == [
        "drain_vm",
        "confirm_drain",
    ]
    assert log.state.maintenance.grants["by-hand"].drained == ["roster-0"]
    held = kinds(execute_commands(logged_run, log, logged_run.tick(1_000)))
    assert "undrain_vm" not in held
    log.apply(EndGrant("by-hand", ["roster-0"], 0))
    ended = logged_run.step(build_fleet_loaded(log.state, 0))
    done = kinds(execute_commands(logged_run, log, ended))
    done += kinds(execute_commands(logged_run, log, logged_run.tick(1_000)))
    assert "undrain_vm" in done
    assert "reboot_vm" not in done
