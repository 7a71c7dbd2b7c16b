"""Compares policies by buffer cost, roll-out time and moves.

Usage: PYTHONPATH=.:tools python bench/policies.py

Every row is one replay of a trace, except for the optimum: the least cost that
any choice of moves could have with the whole demand known in advance and moves
that take no time. It is found by exhaustive search over all states of all
seconds.

For each deployment three tables are printed: borrowing and reserve policies by
their cost in VM-seconds, orders of a maintenance wave, and placements of jobs.
"""

import io
import itertools
import math

from generate_traces import build_rotation, scenarios
from trace_fleets import DEPLOYMENTS, POOL_SIZE, SLOTS_PER_VM, SPARE_GUARANTEED

from wigeonport.plan_events import DemandReported
from wigeonport.replays import replay_trace
from wigeonport.traces import TraceReader

# Maps the label of a row to the settings that differ from those of the trace.
# "chosen" keeps the settings of the trace.
POLICIES = {
    "chosen": {},
    "break-even only": {"borrow_policy": "break_even"},
    "no hold (baseline)": {"borrow_policy": "follow_demand"},
    "own reserves (baseline)": {"reserve_policy": "per_service"},
    "never borrow": {"borrow_policy": "break_even", "move_price_s": 1e9},
}
WAVE_ORDERS = ("zone_rack", "oldest_first")
PLACEMENTS = {
    "chosen": {},
    "first fit, declared (baseline)": {
        "placement_policy": "first_fit",
        "estimate_policy": "declared",
    },
}
PEAK_DURATIONS_S = (8, 20, 40)
# VMs of the spare pool that the optimum holds in reserve and never lends.
RESERVE_VMS = 2


class TraceCase:
    """One trace to replay.

    Attributes:
        name: Label of the rows.
        trace_text: The trace in its file format.
    """

    __slots__ = ("name", "trace_text")

    def __init__(self, name, builder):
        file = io.StringIO()
        builder.write_to(file)
        self.name = name
        self.trace_text = file.getvalue()

    def read_trace(self):
        """Returns the parsed Trace."""
        return TraceReader(self.name).read(self.trace_text.splitlines()).ok


def replay(case, overrides):
    """Returns the settings and the Measures of one replay.

    Raises:
        SystemExit: If the replay failed or violated an invariant.
    """
    trace = case.read_trace()
    result = replay_trace(trace, overrides)
    if result.is_error():
        raise SystemExit(str(result.error))
    if result.ok.violations:
        raise SystemExit(str(result.ok.violations[0]))
    return trace.header.settings, result.ok.measures


def weighted_cost(settings, buffer_vm_s, shortage_vm_s, moves):
    """Returns the weighted cost in VM-seconds."""
    return (
        settings.weight_buffer * buffer_vm_s
        + settings.weight_rollout * shortage_vm_s
        + settings.weight_moves * settings.move_price_s * moves
    )


def read_required_vms(trace):
    """Returns for each second the list of VMs required by each pool."""
    spare_pools = [
        pool.name
        for pool in trace.events[0].event.fleet.pools.values()
        if pool.spare
    ]
    required_vms = {}
    for item in trace.events:
        event = item.event
        if (
            isinstance(event, DemandReported)
            and event.service not in spare_pools
        ):
            second = event.measured_ms // 1000
            required = math.ceil(event.slots / SLOTS_PER_VM)
            required_vms.setdefault(second, {})[event.service] = required
    return [
        list(required_vms[second].values()) for second in sorted(required_vms)
    ]


def find_optimum(trace):
    """Returns buffer cost, shortage and moves of the cheapest choice.

    A state is the number of VMs lent to each pool. For each second, every
    state is combined with every state of the second before.

    Returns:
        Buffer cost in VM-seconds, shortage in VM-seconds, number of moves.
    """
    settings = trace.header.settings
    required_vms = read_required_vms(trace)
    lendable = POOL_SIZE - SPARE_GUARANTEED - RESERVE_VMS
    states = [
        state
        for state in itertools.product(
            range(lendable + 1), repeat=len(required_vms[0])
        )
        if sum(state) <= lendable
    ]
    best_by_state = {tuple([0] * len(required_vms[0])): (0.0, 0, 0, 0)}
    for required in required_vms:
        best_by_state = extend_by_second(
            settings, states, best_by_state, required
        )
    cost, idle, missing, moves = min(best_by_state.values())
    return RESERVE_VMS * len(required_vms) + idle, missing, moves


def extend_by_second(settings, states, best, required):
    """Extends the cheapest choices by one second.

    Args:
        settings: Settings with the weights.
        states: All states.
        best: Maps each state to the least cost to reach it, and its idle
            VM-seconds, missing VM-seconds and moves.
        required: VMs required by each pool in the second.

    Returns:
        The same mapping as ``best``, one second later.
    """
    best_after = {}
    for state in states:
        idle, missing = count_idle_and_missing(state, required)
        candidates = []
        for before, (_, idle_before, missing_before, moves) in best.items():
            total = (
                idle_before + idle,
                missing_before + missing,
                moves + count_moves(before, state),
            )
            candidates.append((weighted_cost(settings, *total), *total))
        best_after[state] = min(candidates)
    return best_after


def count_idle_and_missing(state, required):
    """Returns the idle borrowed VMs and the missing VMs of one second.

    A pool needs at least 5 VMs, its guarantee.
    """
    idle = missing = 0
    for lent, needed in zip(state, required, strict=True):
        idle += min(lent, max(POOL_SIZE + lent - max(needed, 5), 0))
        missing += max(needed - POOL_SIZE - lent, 0)
    return idle, missing


def count_moves(before, after):
    """Returns the number of VM moves from one state to another."""
    changes = [new - old for old, new in zip(before, after, strict=True)]
    arriving = sum(change for change in changes if change > 0)
    leaving = -sum(change for change in changes if change < 0)
    return max(arriving, leaving)


def print_row(*cells):
    """Prints one row of a table."""
    print("| " + " | ".join(str(cell) for cell in cells) + " |")


def print_header(*cells):
    """Prints the header of a table."""
    print_row(*cells)
    print_row(*("---" for _ in cells))


def print_capacity(deployment):
    """Prints the table of borrowing and reserve policies."""
    print(f"\n### Capacity, {deployment.name}\n")
    print_header(
        "demand",
        "policy",
        "buffer cost (VM-s)",
        "shortage (VM-s)",
        "longest move (s)",
        "moves",
        "weighted cost (VM-s)",
    )
    cases = [
        TraceCase(f"rotation, {s} s", build_rotation(deployment, 1, s * 1000))
        for s in PEAK_DURATIONS_S
    ]
    build = scenarios.entries["sustained_peak"]
    cases.append(TraceCase("one peak, 100 s", build(deployment, 1)))
    for case in cases:
        for policy, overrides in POLICIES.items():
            settings, measures = replay(case, overrides)
            cost_terms = (
                measures.buffer_vm_s,
                measures.shortage_vm_s,
                measures.moves,
            )
            print_row(
                case.name,
                policy,
                round(cost_terms[0]),
                round(cost_terms[1]),
                round(measures.move_ms / 1000, 1),
                cost_terms[2],
                round(weighted_cost(settings, *cost_terms)),
            )
        settings = case.read_trace().header.settings
        optimum = find_optimum(case.read_trace())
        cost = weighted_cost(settings, *optimum)
        buffer_vm_s, missing, moves = optimum
        print_row(
            case.name,
            "optimum in hindsight",
            buffer_vm_s,
            missing,
            0,
            moves,
            round(cost),
        )


def print_waves(deployment):
    """Prints the table of orders of a maintenance wave."""
    print(f"\n### Maintenance wave, {deployment.name}\n")
    print_header(
        "order",
        "VMs maintained",
        "maintenance in more than one zone (s)",
        "lowest available VMs of a pool",
        "commands",
    )
    case = TraceCase(
        "wave", scenarios.entries["scattered_wave"](deployment, 1)
    )
    for order in WAVE_ORDERS:
        _, measures = replay(case, {"wave_order": order})
        print_row(
            order,
            measures.maintained,
            round(measures.mixed_zones_ms / 1000),
            min(measures.lowest_available.values()),
            sum(measures.commands.values()),
        )


def print_placements(deployment):
    """Prints the table of job placement policies."""
    print(f"\n### Jobs, {deployment.name}\n")
    print_header(
        "trace",
        "placement",
        "total wait of all jobs (s)",
        "failed tasks",
        "finished jobs",
    )
    for name in ("wrong_sizes", "bad_workers"):
        case = TraceCase(name, scenarios.entries[name](deployment, 1))
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
    """Prints all tables of each deployment."""
    for deployment in DEPLOYMENTS.values():
        print_capacity(deployment)
        print_waves(deployment)
        print_placements(deployment)


if __name__ == "__main__":
    main()
