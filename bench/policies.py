"""Compares policies by buffer cost, roll-out time and moves.

Usage: PYTHONPATH=.:tools python bench/policies.py

Every row is one replay. The optimum is the least cost that any choice of
moves could have with the whole demand known in advance and moves that take no
time; it is found by exhaustive search over all states of all seconds.
"""

import io
import itertools
import math

from generate_traces import build_rotation, scenarios
from trace_fleets import DEPLOYMENTS, POOL_SIZE, SLOTS_PER_VM, SPARE_GUARANTEED

from wigeonport.plan_events import DemandReported
from wigeonport.replays import replay_trace
from wigeonport.traces import TraceReader

POLICIES = {
    "chosen": {},
    "break-even only": {"borrow_policy": "break_even"},
    "no hold (baseline)": {"borrow_policy": "follow_demand"},
    "own reserves (baseline)": {"reserve_policy": "per_service"},
    "never borrow": {"borrow_policy": "break_even", "move_price_s": 1e9},
}
ORDERS = ("zone_rack", "oldest_first")
PLACEMENTS = {
    "chosen": {},
    "first fit, declared (baseline)": {
        "placement_policy": "first_fit",
        "estimate_policy": "declared",
    },
}
PEAKS_S = (8, 20, 40)
RESERVE = 2


class Case:
    """One demand to replay.

    Attributes:
        name: Name for the table.
        text: The trace as text.
    """

    __slots__ = ("name", "text")

    def __init__(self, name, builder):
        file = io.StringIO()
        builder.write_to(file)
        self.name = name
        self.text = file.getvalue()

    def read(self):
        """Returns the Trace."""
        return TraceReader(self.name).read(self.text.splitlines()).ok


def replay(case, overrides):
    """Returns the settings and the measures of one replay."""
    trace = case.read()
    result = replay_trace(trace, overrides)
    if result.is_error():
        raise SystemExit(str(result.error))
    if result.ok.violations:
        raise SystemExit(str(result.ok.violations[0]))
    return trace.header.settings, result.ok.measures


def find_cost(settings, buffer_vm_s, shortage_vm_s, moves):
    """Returns the weighted cost in VM-seconds."""
    return (
        settings.weight_buffer * buffer_vm_s
        + settings.weight_rollout * shortage_vm_s
        + settings.weight_moves * settings.move_price_s * moves
    )


def read_needs(trace):
    """Returns the VMs that each pool needs in each second."""
    spare = [
        pool.name
        for pool in trace.events[0].event.fleet.pools.values()
        if pool.spare
    ]
    needs = {}
    for item in trace.events:
        event = item.event
        if isinstance(event, DemandReported) and event.service not in spare:
            second = event.measured_ms // 1000
            need = math.ceil(event.slots / SLOTS_PER_VM)
            needs.setdefault(second, {})[event.service] = need
    return [list(needs[second].values()) for second in sorted(needs)]


def find_optimum(trace):
    """Returns buffer cost, shortage and moves of the best choice.

    A state is the number of VMs lent to each pool. All states of a second
    are tried after all states of the second before.
    """
    settings = trace.header.settings
    needs = read_needs(trace)
    lendable = POOL_SIZE - SPARE_GUARANTEED - RESERVE
    states = [
        state
        for state in itertools.product(
            range(lendable + 1), repeat=len(needs[0])
        )
        if sum(state) <= lendable
    ]
    best = {tuple([0] * len(needs[0])): (0.0, 0, 0, 0)}
    for need in needs:
        best = advance(settings, states, best, need)
    cost, idle, short, moves = min(best.values())
    return RESERVE * len(needs) + idle, short, moves


def advance(settings, states, best, need):
    """Returns the best way to each state after one more second."""
    reached = {}
    for state in states:
        idle, short = count_idle_and_short(state, need)
        ways = []
        for before, (_, idle_before, short_before, moves) in best.items():
            total = (
                idle_before + idle,
                short_before + short,
                moves + count_moves(before, state),
            )
            ways.append((find_cost(settings, *total), *total))
        reached[state] = min(ways)
    return reached


def count_idle_and_short(state, need):
    """Returns the idle borrowed VMs and the missing VMs of one second."""
    idle = short = 0
    for lent, needed in zip(state, need, strict=True):
        idle += min(lent, max(POOL_SIZE + lent - max(needed, 5), 0))
        short += max(needed - POOL_SIZE - lent, 0)
    return idle, short


def count_moves(before, after):
    """Returns the moves between two states."""
    changes = [new - old for old, new in zip(before, after, strict=True)]
    arriving = sum(change for change in changes if change > 0)
    leaving = -sum(change for change in changes if change < 0)
    return max(arriving, leaving)


def print_row(*cells):
    """Prints one row of a table."""
    print("| " + " | ".join(str(cell) for cell in cells) + " |")


def print_header(*cells):
    """Prints the head of a table."""
    print_row(*cells)
    print_row(*("---" for _ in cells))


def print_capacity(deployment):
    """Prints the table of lending policies."""
    print(f"\n### Capacity, {deployment.name}\n")
    print_header(
        "demand",
        "policy",
        "buffer cost (VM-s)",
        "shortage (VM-s)",
        "longest move (s)",
        "moves",
        "weighted cost",
    )
    cases = [
        Case(f"rotation, {s} s", build_rotation(deployment, 1, s * 1000))
        for s in PEAKS_S
    ]
    build = scenarios.entries["sustained_peak"]
    cases.append(Case("one peak, 100 s", build(deployment, 1)))
    for case in cases:
        for policy, overrides in POLICIES.items():
            settings, measures = replay(case, overrides)
            sums = (
                measures.buffer_vm_s,
                measures.shortage_vm_s,
                measures.moves,
            )
            print_row(
                case.name,
                policy,
                round(sums[0]),
                round(sums[1]),
                round(measures.move_ms / 1000, 1),
                sums[2],
                round(find_cost(settings, *sums)),
            )
        settings = case.read().header.settings
        optimum = find_optimum(case.read())
        cost = find_cost(settings, *optimum)
        buffer_vm_s, short, moves = optimum
        print_row(
            case.name,
            "optimum in hindsight",
            buffer_vm_s,
            short,
            0,
            moves,
            round(cost),
        )


def print_waves(deployment):
    """Prints the table of orders of a wave."""
    print(f"\n### Maintenance wave, {deployment.name}\n")
    print_header(
        "order",
        "VMs maintained",
        "time in more than one zone (s)",
        "lowest available",
        "commands",
    )
    case = Case("wave", scenarios.entries["scattered_wave"](deployment, 1))
    for order in ORDERS:
        _, measures = replay(case, {"wave_order": order})
        print_row(
            order,
            measures.maintained,
            round(measures.mixed_zones_ms / 1000),
            min(measures.lowest_available.values()),
            sum(measures.commands.values()),
        )


def print_placements(deployment):
    """Prints the table of placements."""
    print(f"\n### Jobs, {deployment.name}\n")
    print_header(
        "trace", "placement", "wait of all jobs (s)", "failed", "finished"
    )
    for name in ("wrong_sizes", "bad_workers"):
        case = Case(name, scenarios.entries[name](deployment, 1))
        for placement, overrides in PLACEMENTS.items():
            _, measures = replay(case, overrides)
            print_row(
                name,
                placement,
                round(measures.wait_s),
                measures.failed_tasks,
                measures.finished_jobs,
            )


def main():
    """Prints all tables."""
    for deployment in DEPLOYMENTS.values():
        print_capacity(deployment)
        print_waves(deployment)
        print_placements(deployment)


if __name__ == "__main__":
    main()
