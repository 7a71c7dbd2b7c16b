"""Tests of grants, drains and moves in the replicated state."""

import pytest

from wigeonport.maintenance_answers import (
    GrantEnded,
    GrantGiven,
    GrantRefused,
    MoveFinished,
    MoveRefused,
)
from wigeonport.state_commands import (
    ConfirmDrain,
    EndGrant,
    FinishMove,
    PauseMaintenance,
    RenewGrant,
    RequestGrant,
    ResumeMaintenance,
    ReturnWorker,
)

LEASE_MS = 60_000
HOLD_MS = 30_000
MOVE = {"operation": "move_worker", "worker": "vm-5", "pool": "roster"}


@pytest.fixture
def grant(apply_to_fleet):
    """Returns a function that requests a grant for some VMs."""

    def request(id, *workers, purpose="drain", unavailable=()):
        return apply_to_fleet(
            RequestGrant(
                id,
                list(workers),
                purpose,
                "ada",
                "test",
                LEASE_MS,
                list(unavailable),
            )
        )

    return request


def test_grant_stays_within_the_budget(apply_to_fleet, grant):
    """A second grant must not exceed the pool's budget (R1)."""
    first = grant("g-1", "vm-1")
    assert first == GrantGiven(
        "g-1", ["vm-1"], apply_to_fleet.now_ms + LEASE_MS
    )
    refused = grant("g-2", "vm-2")
    assert "pool 'roster' can spare 0 more VMs, 1 were" in refused.findings[0]


def test_unknown_vms_count_as_unavailable(grant):
    """A VM that the sender does not know to be available uses budget (R1)."""
    assert isinstance(grant("g-1", "vm-1", unavailable=["vm-2"]), GrantRefused)


def test_vm_that_is_already_unavailable_costs_no_budget(grant):
    """A VM that is already unavailable must be grantable for its repair.

    If it counted against the budget again, it could not be repaired.
    """
    answer = grant("g-1", "vm-1", unavailable=["vm-1"])
    assert isinstance(answer, GrantGiven)


def test_resent_request_gets_the_same_grant(apply_to_fleet, grant):
    """A resent request must not be refused or be granted a second VM."""
    first = grant("g-1", "vm-1")
    assert grant("g-1", "vm-1") == first
    assert isinstance(grant("g-1", "vm-2"), GrantRefused)
    apply_to_fleet(EndGrant("g-1", ["vm-1"], 0))
    assert "ended before" in grant("g-1", "vm-1").findings[0]


def test_vms_of_unknown_state_are_not_granted_beyond_the_budget(grant):
    """A whole pool of VMs in an unknown state must not be granted.

    This happened in the demo: three VMs that the planner did not know to be
    available were granted, although the budget is two.
    """
    names = ["vm-1", "vm-2", "vm-3"]
    assert isinstance(grant("g-1", *names, unavailable=names), GrantRefused)


def test_vm_of_an_expired_lease_counts_as_unavailable(apply_to_fleet, grant):
    """The expiry of a lease must not free budget (R1).

    The VM is unavailable until it is reported back and its hold has ended.
    """
    grant("g-1", "vm-1")
    apply_to_fleet.now_ms += LEASE_MS
    assert isinstance(grant("g-2", "vm-2"), GrantRefused)
    assert apply_to_fleet.state.maintenance.missing == {"vm-1": "g-1"}
    assert apply_to_fleet(RenewGrant("g-1", LEASE_MS)).findings
    apply_to_fleet(ReturnWorker("vm-1", HOLD_MS))
    assert isinstance(grant("g-3", "vm-2"), GrantRefused)
    apply_to_fleet.now_ms += HOLD_MS
    assert isinstance(grant("g-4", "vm-2"), GrantGiven)


def test_repaired_vm_is_held_before_it_counts(apply_to_fleet, grant):
    """Budget must not be freed before the hold of a returned VM ends (R1).

    If the VM failed right after its repair, a second one would be lost.
    """
    grant("g-1", "vm-1")
    apply_to_fleet(EndGrant("g-1", ["vm-1"], HOLD_MS))
    assert isinstance(grant("g-2", "vm-2"), GrantRefused)
    apply_to_fleet.now_ms += HOLD_MS
    assert isinstance(grant("g-3", "vm-2"), GrantGiven)


def test_vm_that_is_not_back_stays_missing(apply_to_fleet, grant):
    """A VM must not count as available before it is reported back (R1)."""
    grant("g-1", "vm-1")
    assert apply_to_fleet(EndGrant("g-1", [], 0)) == GrantEnded(
        "g-1", ["vm-1"]
    )
    assert isinstance(grant("g-2", "vm-2"), GrantRefused)


def test_renewal_never_shortens_a_lease(apply_to_fleet, grant):
    """A renewal with a shorter lease must not end the lease early."""
    first = grant("g-1", "vm-1")
    assert apply_to_fleet(RenewGrant("g-1", 1)).expires_ms == first.expires_ms
    longer = apply_to_fleet(RenewGrant("g-1", LEASE_MS))
    assert longer.expires_ms == apply_to_fleet.now_ms + LEASE_MS


def test_maintenance_waits_for_its_window_and_the_end_of_a_pause(
    apply_to_fleet, grant
):
    """Maintenance must not start outside its windows or during a pause."""
    apply_to_fleet.now_ms = 12 * 3_600_000
    closed = grant("g-1", "vm-1", purpose="maintenance")
    assert closed.findings == ["no window of VM 'vm-1' is open"]
    apply_to_fleet(PauseMaintenance("roster", "bayo", "crusade"))
    paused = grant("g-2", "vm-2", purpose="maintenance")
    assert paused.findings == [
        "maintenance of 'roster' is paused by bayo: crusade"
    ]
    apply_to_fleet(ResumeMaintenance("roster", "bayo", "over"))
    answer = grant("g-3", "vm-2", purpose="maintenance")
    assert isinstance(answer, GrantGiven)


def test_finished_maintenance_is_recorded(apply_to_fleet, grant):
    """Only a VM whose maintenance is finished counts as maintained.

    Otherwise VMs would be maintained twice or not at all.
    """
    grant("g-1", "vm-2", purpose="maintenance")
    apply_to_fleet(ConfirmDrain("g-1", "vm-2"))
    apply_to_fleet(EndGrant("g-1", ["vm-2"], 0))
    maintained = apply_to_fleet.state.maintenance.maintained
    assert maintained["vm-2"] == apply_to_fleet.now_ms
    assert "vm-1" not in maintained
    assert apply_to_fleet.state.maintenance.joined["vm-1"] == 1


def test_unknown_purpose_names_the_known_ones(grant):
    """A grant with an unknown purpose must not skip the checks."""
    text = grant("g-1", "vm-1", purpose="fun").findings[0]
    assert "known: drain, maintenance, move" in text


def test_vm_moves_in_one_step_after_its_drain(apply_to_fleet, submit, grant):
    """A VM must not be in two pools or none (R2), or move undrained (R7)."""
    submit("p-2", 1, MOVE)
    finish = FinishMove("g-1", "vm-5", "notices", "roster", HOLD_MS)
    assert isinstance(apply_to_fleet(finish), MoveRefused)
    assert isinstance(grant("g-1", "vm-5", purpose="move"), GrantGiven)
    refused = apply_to_fleet(finish)
    assert refused.findings == ["the drain of the VM is not confirmed"]
    assert apply_to_fleet.state.pools.pools["vm-5"] == "notices"
    apply_to_fleet(ConfirmDrain("g-1", "vm-5"))
    assert apply_to_fleet(finish) == MoveFinished("vm-5", "notices", "roster")
    assert apply_to_fleet.state.pools.pools["vm-5"] == "roster"
    assert apply_to_fleet.state.maintenance.grants == {}
    assert apply_to_fleet.state.maintenance.holds == {
        "vm-5": apply_to_fleet.now_ms + HOLD_MS
    }


def test_move_that_a_newer_version_withdrew_is_refused(
    apply_to_fleet, submit, grant
):
    """A move that a newer version withdrew must not be finished.

    The VM would end up in a pool that the version does not assign.
    """
    submit("p-2", 1, MOVE)
    grant("g-1", "vm-5", purpose="move")
    apply_to_fleet(ConfirmDrain("g-1", "vm-5"))
    submit("p-3", 2, {**MOVE, "pool": "notices"})
    finish = FinishMove("g-1", "vm-5", "notices", "roster", 0)
    assert isinstance(apply_to_fleet(finish), MoveRefused)
    assert apply_to_fleet.state.pools.pools["vm-5"] == "notices"


def test_removed_vm_stays_a_member_until_it_is_drained(
    apply_to_fleet, submit, grant
):
    """The removal of a VM must not cut off its running work (R7)."""
    submit("p-2", 1, {"operation": "remove_worker", "id": "vm-8"})
    assert apply_to_fleet.state.pools.pending(
        apply_to_fleet.state.fleet.fleet
    ) == [("vm-8", "notices", None)]
    grant("g-1", "vm-8", purpose="move")
    apply_to_fleet(ConfirmDrain("g-1", "vm-8"))
    apply_to_fleet(FinishMove("g-1", "vm-8", "notices", None, 0))
    assert "vm-8" not in apply_to_fleet.state.pools.pools


def test_move_grant_needs_a_pending_move(grant):
    """A VM without a pending move must not be drained for one."""
    text = grant("g-1", "vm-5", purpose="move").findings[0]
    assert text == "VM 'vm-5' is where the version says"


def test_incoming_vms_do_not_free_budget_before_they_arrive(
    apply_to_fleet, submit, grant
):
    """A VM must not add to the budget of a pool before it has moved (R1)."""
    submit(
        "p-2",
        1,
        MOVE,
        {
            "operation": "set_service_capacity",
            "service": "roster",
            "capacity_workers": 4,
        },
    )
    assert isinstance(grant("g-1", "vm-1"), GrantRefused)
