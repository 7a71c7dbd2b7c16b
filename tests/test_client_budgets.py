"""Tests of the budget of what a process holds for its clients."""

import pytest

from wigeonport.client_budgets import (
    ANSWERING,
    BYTES,
    CALLERS,
    CONNECTIONS,
    DECIDING,
    IDLE,
    OPERATORS,
    PROGRESS_BYTES,
    STALLED,
    STATUS,
    UNREAD,
    WORKERS,
    ClientBudget,
    Holding,
)
from wigeonport.client_limits import (
    ClientLimits,
    derive_bytes,
    derive_connections,
)

LIMIT_BYTES = 100_000
LIMIT_CONNECTIONS = 10
STALL_MS = 30_000


@pytest.fixture
def budget():
    """A small budget."""
    return ClientBudget(
        ClientLimits(LIMIT_BYTES, LIMIT_CONNECTIONS, STALL_MS, STALL_MS)
    )


@pytest.fixture
def connect(budget):
    """Opens a connection at a time in ms; begins a request if it has one."""

    def open_connection(now_ms, share=CALLERS, expected_bytes=None):
        holding = Holding(share, lambda: None, now_ms)
        assert budget.open(holding, now_ms)
        if expected_bytes is not None:
            budget.begin(holding, share, expected_bytes, now_ms)
        return holding

    return open_connection


def test_largest_body_without_progress_goes_first(budget, connect):
    """Guards against a body that occupies the budget until its time-out."""
    stalled = connect(0, expected_bytes=60_000)
    short = connect(0, expected_bytes=1_000)
    active = connect(0, expected_bytes=30_000)
    budget.receive(active, PROGRESS_BYTES, 4_000)
    newcomer = connect(5_000, expected_bytes=20_000)
    assert stalled.reason == BYTES
    assert [short.reason, active.reason, newcomer.reason] == [None] * 3
    assert budget.held_bytes == 51_000


def test_flood_of_a_share_leaves_the_guarantee_of_others(budget, connect):
    """Guards against heartbeats that a flood of configurations ends."""
    heartbeat = connect(0, WORKERS, expected_bytes=30_000)
    floods = [
        connect(1_000 + n, OPERATORS, expected_bytes=25_000) for n in range(8)
    ]
    assert heartbeat.reason is None
    assert any(flood.reason == BYTES for flood in floods)
    assert budget.held_bytes <= LIMIT_BYTES


def test_complete_request_is_never_ended_for_others(budget, connect):
    """Guards against a refusal of a request that runs all the same."""
    complete = connect(0, expected_bytes=90_000)
    complete.body_awaited = True
    assert complete.not_run
    complete.enter(DECIDING, 0)
    newcomer = connect(60_000, expected_bytes=20_000)
    budget.end_overdue(complete, 0, 90_000)
    assert complete.reason is None
    assert not complete.not_run
    assert newcomer.reason == BYTES


def test_connection_without_an_answer_yields_first(budget, connect):
    """Guards against a crowd of idle connections that keeps callers out."""
    served = connect(0, expected_bytes=10)
    budget.finish(served, 0, 1)
    idle = [connect(100 + n) for n in range(LIMIT_CONNECTIONS - 1)]
    status = connect(200, STATUS)
    assert idle[0].reason == CONNECTIONS
    assert [served.reason, idle[1].reason, status.reason] == [None] * 3


def test_full_of_complete_requests_refuses_a_connection(budget, connect):
    """Guards against more connections than the process has descriptors."""
    for _ in range(LIMIT_CONNECTIONS):
        connect(0, expected_bytes=1).enter(DECIDING, 0)
    assert not budget.open(Holding(CALLERS, lambda: None, 1), 1)


def test_everything_is_released(budget, connect):
    """Guards against bytes that stay counted after their connection."""
    sent = connect(0, expected_bytes=5_000)
    budget.receive(sent, 7_000, 1)
    budget.hold_answer(sent, 9_000, 2)
    budget.release_answer(sent, 9_000, 3)
    budget.finish(sent, 400, 4)
    assert budget.held_bytes == 400
    budget.begin(sent, OPERATORS, 2_000, 5)
    assert budget.bytes_by_share == {CALLERS: 0, OPERATORS: 2_000}
    budget.close(sent)
    budget.close(sent)
    budget.receive(sent, 100, 6)
    budget.finish(sent, 0, 7)
    assert budget.held_bytes == 0
    assert not budget.holdings
    assert sum(budget.connections_by_share.values()) == 0


@pytest.mark.parametrize(
    ("expected_bytes", "answers", "reason"),
    [(None, False, IDLE), (10, False, STALLED), (10, True, UNREAD)],
)
def test_progress_decides_the_end(
    budget, connect, expected_bytes, answers, reason
):
    """Guards against clients that send or take a byte now and then."""
    holding = connect(0, expected_bytes=expected_bytes)
    if answers:
        holding.enter(ANSWERING, 0)
    for now_ms in range(0, STALL_MS, 1_000):
        budget.receive(holding, 1, now_ms)
        budget.end_overdue(holding, STALL_MS, now_ms)
    assert holding.reason is None
    budget.end_overdue(holding, STALL_MS, STALL_MS)
    assert holding.reason == reason


def test_flood_is_reported_once_a_second(budget, connect):
    """Guards against a log line for each connection that is ended."""
    for now_ms in range(0, 1_000, 10):
        connect(now_ms)
    assert budget.take_report(1_000) == {CONNECTIONS: 90}
    connect(1_010)
    assert not budget.take_report(1_500)
    assert budget.take_report(2_000) == {CONNECTIONS: 1}


def test_limits_follow_the_machine():
    """Guards against limits beyond the memory or the descriptors."""
    assert derive_bytes(0) == derive_connections(0, 0) == float("inf")
    assert derive_bytes(200) == 34 * 1024 * 1024
    assert derive_connections(200, 4_100) == 1_450
    assert derive_connections(2_000, 900) == 350
    assert derive_connections(10, 10) == 64
