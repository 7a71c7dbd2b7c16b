"""Tests of the HTTP interface for operators."""

import pytest
import trio
from hypothesis import given, settings
from hypothesis import strategies as st
from operator_fakes import OTHER_TOKEN, FakeControl, run_with

from wigeonport.operator_routes import operator_routes


@pytest.fixture
def control(tmp_path, apply_to_fleet):
    """A fake control whose state is version 1 of the sample fleet."""
    fake = FakeControl(tmp_path / "tokens")
    fake.state, fake.index = apply_to_fleet.state, apply_to_fleet.index
    return fake


def patch(id, against, worker="vm-5", **fields):
    """Returns a patch document that moves a VM to the roster pool."""
    move = {"operation": "move_worker", "worker": worker, "pool": "roster"}
    return {
        "id": id,
        "against_version": against,
        "reason": "crusade",
        "operations": [move],
        **fields,
    }


@pytest.mark.parametrize(
    ("token", "headers"),
    [
        (None, ()),
        ("wrong", ()),
        (None, [(b"authorization", b"Basic 0123456789abcdef")]),
        ("0123456789abcdef", [(b"authorization", b"Bearer x")]),
        (None, [(b"authorization", b"\xff")]),
    ],
)
def test_access_without_a_valid_token_is_refused(control, token, headers):
    """No route may answer a request without exactly one valid token.

    Otherwise anyone who reaches the port could read or change the fleet.
    """

    async def scenario():
        for method, path in operator_routes.entries:
            status, document = await control.call(
                method, path, patch("p-2", 1), token, headers
            )
            assert (status, document["outcome"]) == (401, "refused")
        count = control.app.process_info.metrics.counters[
            "operators_access_refused"
        ]
        assert count == len(operator_routes.entries)
        assert control.state.fleet.fleet.version == 1

    run_with(control, scenario)


def test_without_a_token_file_everybody_is_refused(control):
    """A control without a token file must refuse everybody."""
    control.app.tokens = None

    async def scenario():
        status, _ = await control.call("GET", "/v1/fleet")
        assert status == 401

    run_with(control, scenario)


def test_common_routes_need_no_token(control):
    """The common routes must not refuse a request without a token.

    Health checks and metrics collectors have none.
    """

    async def scenario():
        status, document = await control.call("GET", "/healthz", token=None)
        assert (status, document) == (200, {"state": "serving"})

    run_with(control, scenario)


def test_patch_is_accepted_and_shown(control):
    """An accepted patch must change the fleet and name its author."""

    async def scenario():
        status, document = await control.call(
            "POST", "/v1/patches", patch("p-2", 1)
        )
        assert (status, document["outcome"]) == (200, "accepted")
        assert document["version"] == 2
        status, fleet = await control.call("GET", "/v1/fleet")
        assert (status, fleet["version"]) == (200, 2)
        assert fleet["replica"]["role"] == "leader"
        _, history = await control.call("GET", "/v1/history?limit=1")
        (version,) = history["versions"]
        assert (version["author"], version["reason"]) == ("ada", "crusade")
        _, one = await control.call("GET", "/v1/history?version=2")
        assert one["versions"][0]["changes"][0]["id"] == "vm-5"

    run_with(control, scenario)


def test_author_is_what_the_token_says(control):
    """The history must name the operator of the token.

    A patch file may name another author; then it names both.
    """

    async def scenario():
        await control.call(
            "POST",
            "/v1/patches",
            patch("p-2", 1, author="ada"),
            OTHER_TOKEN,
        )
        _, history = await control.call("GET", "/v1/history")
        author = history["versions"][0]["author"]
        assert author == "ada (submitted by bayo)"

    run_with(control, scenario)


def test_stale_patch_gets_the_changes(control):
    """The refusal of a stale patch must list the changes since its version.

    Without them the operator cannot rewrite the patch.
    """

    async def scenario():
        await control.call("POST", "/v1/patches", patch("p-2", 1))
        status, document = await control.call(
            "POST", "/v1/patches", patch("p-3", 1, "vm-6")
        )
        assert (status, document["why"]) == (409, "stale")
        assert document["changes"][0]["id"] == "vm-5"
        assert document["versions"][0]["version"] == 2

    run_with(control, scenario)


def test_invalid_patch_is_refused_before_it_is_proposed(control):
    """A malformed patch must get findings and never reach the log."""

    async def scenario():
        for body, status in ((b"{", 400), ({"id": "p"}, 422), ([], 422)):
            actual_status, document = await control.call(
                "POST", "/v1/patches", body
            )
            assert actual_status == status
            assert document["findings"]
        assert control.index == 1

    run_with(control, scenario)


def test_dry_run_changes_nothing(control):
    """A dry run must report moves and refusals and change nothing."""

    async def scenario():
        target = "/v1/patches?dry_run=1"
        status, document = await control.call("POST", target, patch("p-2", 1))
        assert (status, document["outcome"]) == (200, "preview")
        assert document["moves"][0]["target"] == "roster"
        assert control.state.fleet.fleet.version == 1
        status, document = await control.call("POST", target, patch("p-2", 0))
        assert (status, document["why"]) == (409, "stale")
        status, _ = await control.call(
            "POST", target, patch("p-2", 1, "vm-99")
        )
        assert status == 422

    run_with(control, scenario)


def test_lost_answer_is_unknown_and_resending_is_safe(control):
    """A patch whose answer is lost is unknown; its resend must not run twice.

    Here it was committed. An operator who is told that it was refused would
    submit it under another id.
    """

    async def scenario():
        control.mode = "lose"
        status, document = await control.call(
            "POST", "/v1/patches", patch("p-2", 1)
        )
        assert (status, document["outcome"]) == (504, "unknown")
        control.mode = "commit"
        status, document = await control.call(
            "POST", "/v1/patches", patch("p-2", 1)
        )
        assert (status, document["version"]) == (200, 2)
        assert control.state.fleet.fleet.version == 2

    run_with(control, scenario)


def test_without_quorum_nothing_was_run(control):
    """Without a quorum the answer must say that nothing was run, and why."""

    async def scenario():
        control.mode = "refuse"
        status, document = await control.call(
            "POST", "/v1/patches", patch("p-2", 1)
        )
        assert (status, document["outcome"]) == (503, "not-run")
        assert document["reason"] == "no quorum"

    run_with(control, scenario)


def test_full_mailbox_means_not_run(control):
    """A command that did not fit into the mailbox must count as not run."""

    async def scenario():
        while control.consensus.depth() < control.consensus.bound:
            control.consensus.put_nowait(None)
        decision = await control.app.control.state_client.propose(None)
        assert decision.outcome == "not-run"

    control.app.control.state_client.timeout_ms = 20
    trio.run(scenario)


def test_reads_without_an_answer_are_unavailable(control):
    """A read must get a 503 while the replicated state gives no document."""
    control.mode = "ignore"

    async def scenario():
        for path in ("fleet", "history", "status", "maintenance"):
            status, document = await control.call("GET", f"/v1/{path}")
            assert (status, document["outcome"]) == (503, "unavailable")

    run_with(control, scenario)


def test_status_says_who_lags_and_why(control):
    """The status must name each process behind, silent or ahead (R8)."""
    control.report("entry/ikeja-1", 0)
    control.report("entry/lekki-1", 1, silent_ms=60_000)
    control.report("entry/yaba-1", 1)
    control.report("entry/yaba-2", 4)

    async def scenario():
        status, document = await control.call("GET", "/v1/status")
        assert (status, document["version"]) == (200, 1)
        assert document["in_force_everywhere"] is False
        lags = {p["process"]: p["lag"] for p in document["processes"]}
        not_reporting = lags.pop("control/ikeja-1")
        assert not_reporting.startswith("has not reported")
        assert lags == {
            "entry/ikeja-1": "applies version 0, 1 behind",
            "entry/lekki-1": "silent for 60000 ms",
            "entry/yaba-1": "",
            "entry/yaba-2": "this control is 3 versions behind",
        }

    run_with(control, scenario)


def test_status_names_expected_processes_that_never_reported(control):
    """The status must list processes that never reported.

    A restarted control has no reports; a process that is down would be
    missing from the list.
    """

    async def scenario():
        _, document = await control.call("GET", "/v1/status")
        names = [line["process"] for line in document["processes"]]
        assert names == ["control/ikeja-1", "entry/ikeja-1"]
        for line in document["processes"]:
            assert line["lag"].startswith("has not reported")

    run_with(control, scenario)


def test_maintenance_is_paused_granted_and_ended(control):
    """A pause must block grants, and a grant must be ended after its drain."""
    grant = {"grant": "g-1", "workers": ["vm-1"], "reason": "disk"}

    async def scenario():
        base = "/v1/maintenance"
        await control.call("POST", f"{base}/pause", {"reason": "crusade"})
        refused = await control.call(
            "POST", f"{base}/grant", grant | {"purpose": "maintenance"}
        )
        assert refused[0] == 409
        assert "paused by ada: crusade" in refused[1]["findings"][0]
        await control.call("POST", f"{base}/resume", {})
        status, given = await control.call("POST", f"{base}/grant", grant)
        assert (status, given["workers"]) == (200, ["vm-1"])
        _, shown = await control.call("GET", base)
        assert shown["grants"][0]["author"] == "ada"
        pools = {pool["pool"]: pool for pool in shown["pools"]}
        assert pools["roster"]["spare"] == 0
        drained = {"grant": "g-1", "worker": "vm-1"}
        status, _ = await control.call("POST", f"{base}/drained", drained)
        assert status == 200
        end = {"grant": "g-1", "healthy": ["vm-1"], "hold_ms": 0}
        status, ended = await control.call("POST", f"{base}/end", end)
        assert (status, ended["missing"]) == (200, [])

    run_with(control, scenario)


def test_no_grant_for_a_vm_without_reports(control):
    """A VM without a recent report must get no grant (R1).

    It counts as unavailable already, but may still run tasks.
    """

    async def scenario():
        grant = {"grant": "g-1", "workers": ["vm-1"]}
        control.unavailable = control.not_reporting = ["vm-1"]
        status, document = await control.call(
            "POST", "/v1/maintenance/grant", grant
        )
        assert (status, document["outcome"]) == (503, "not-run")
        assert control.state.maintenance.grants == {}

    run_with(control, scenario)


def test_grant_counts_what_the_planner_reports(control):
    """A grant must count VMs that failed, and needs their health (R1).

    Otherwise a drain on top of a failure exceeds the budget of the pool.
    """

    async def scenario():
        grant = {"grant": "g-1", "workers": ["vm-1"]}
        control.unavailable = ["vm-2"]
        status, _ = await control.call("POST", "/v1/maintenance/grant", grant)
        assert status == 409
        control.unavailable = None
        status, document = await control.call(
            "POST", "/v1/maintenance/grant", grant
        )
        assert (status, document["outcome"]) == (503, "not-run")
        assert control.state.maintenance.grants == {}

    run_with(control, scenario)


@pytest.mark.parametrize(
    ("method", "path", "status"),
    [
        ("GET", "/v1/absent", 404),
        ("PUT", "/v1/fleet", 405),
        ("GET", "/v1/history?limit=x", 400),
        ("GET", "/v1/history?version=\u00b2", 400),
        ("POST", "/v1/maintenance/pause", 400),
    ],
)
def test_wrong_requests_are_refused(control, method, path, status):
    """An invalid request must get a 4xx status with findings."""

    async def scenario():
        actual_status, document = await control.call(method, path, b"\xff")
        assert actual_status == status
        assert document["findings"]

    run_with(control, scenario)


def test_large_body_is_refused(control):
    """A body over max_patch_bytes must be refused: the log cannot hold it."""

    async def scenario():
        limit = control.app.control.settings.max_patch_bytes
        status, _ = await control.call(
            "POST", "/v1/patches", b" " * (limit + 1)
        )
        assert status == 413

    run_with(control, scenario)


VALUES = st.none() | st.text(max_size=4) | st.integers() | st.just(["vm-1"])
KEYS = st.sampled_from(
    ["grant", "workers", "purpose", "scope", "worker", "hold_ms", "lease_ms"]
)


@given(
    path=st.sampled_from(
        [path for method, path in operator_routes.entries if method == "POST"]
    ),
    body=st.dictionaries(KEYS, VALUES, max_size=5) | VALUES,
)
@settings(max_examples=150, derandomize=True, deadline=None)
def test_any_body_gets_an_answer(tmp_path_factory, path, body):
    """Any JSON body must get an answer with a known status and outcome."""
    control = FakeControl(tmp_path_factory.getbasetemp() / "tokens")

    async def scenario():
        status, document = await control.call("POST", path, body)
        assert status in (200, 400, 409, 422)
        assert document["outcome"] in ("done", "refused")

    run_with(control, scenario)
