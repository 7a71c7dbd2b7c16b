"""Tests of kinds of task that slow each other down on one worker.

By hand, ``python tests/test_interference.py FIRST LAST LOAD ...`` plays the
seeds of a range and prints the pairs found and wrongly accused.
"""

import random
import statistics
import sys

import pytest
import trio
from batch_fixtures import (
    DispatcherHarness,
    make_queue,
    make_table,
    started_runs,
)
from interference_simulations import TRUE_PAIRS, InterferenceSimulation, Load

from wigeonport.batch_dispatchers import BatchDispatcher
from wigeonport.cli_main import run
from wigeonport.interference_evidence import MAX_KINDS, ServiceEvidence
from wigeonport.interference_pairs import Pair
from wigeonport.interference_samples import EndedRun
from wigeonport.mean_comparisons import AgedMoments, student_quantile
from wigeonport.metrics import Metrics
from wigeonport.run_neighbours import MAX_TOTALS
from wigeonport.servers import ProcessInfo, StatusApp, serve_http
from wigeonport.settings import settings_from_document

LOADS = {
    "pairs": {},
    "none": {"slow_downs": {}},
    "tails": {"tail_share": 0.05},
    "tails-none": {"tail_share": 0.05, "slow_downs": {}},
    "slow": {"slow_worker": 2.5},
    "slow-none": {"slow_worker": 2.5, "slow_downs": {}},
    "estimates": {"estimate_spread": 0.9},
    "leader": {"leader_changes_ms": (30_000,)},
    "medium": {"jobs_per_s": 1.3},
    "full": {"jobs_per_s": 2.2, "length_ms": 60_000},
    "full-none": {"jobs_per_s": 2.2, "length_ms": 60_000, "slow_downs": {}},
}
HOUR_MS = 3_600_000


def play(name, seed, separate=True):
    """Plays a load; returns the simulation and the share in time."""
    load = Load(**LOADS[name])
    source = random.Random(f"{name} {seed}")
    simulation = InterferenceSimulation(load, source, separate)
    return simulation, simulation.run()


def wrong_pairs(simulation):
    """Returns the pairs that were taken up though nothing slows them down."""
    truth = TRUE_PAIRS if simulation.load.slow_downs else set()
    return set(simulation.found) - truth


def ended_run(kind, step, exposed=(), run_ms=1_000, machine="vm"):
    """Returns an EndedRun that was beside a kind for all of its time."""
    shares = dict.fromkeys(exposed, 1.0)
    return EndedRun(kind, step, machine, run_ms, 1_000, set(exposed), shares)


@pytest.fixture
def evidence():
    """Evidence in which plans take twice as long beside maps.

    Takes the factor; returns ServiceEvidence and the time of the last run.
    """

    def learn(factor=2.0, steps=120, since_ms=0, known=None):
        found = known or ServiceEvidence("desk")
        found.include_kind("maps.0", since_ms)
        source = random.Random(7)
        for number in range(steps):
            now_ms = since_ms + number * 500
            beside = ("maps.0",) if number % 2 else ()
            run_ms = 1_000 * source.lognormvariate(0, 0.2)
            run_ms *= factor if beside else 1
            step, machine = f"{since_ms}-{number}", f"vm{number // 2 % 4}"
            for _ in range(3):
                run = ended_run("plans.0", step, beside, run_ms, machine)
                found.add_run(run, now_ms)
            found.review(lambda _: True, now_ms)
        return found, now_ms

    return learn


@pytest.fixture
def separating():
    """A harness in which maps and plans are ruled to be kept apart."""
    queues = [make_queue(name) for name in ("plans", "maps")]
    harness = DispatcherHarness(make_table(queues=queues))
    state, settings = harness.dispatcher.state, harness.dispatcher.settings
    settings.separate_interfering_tasks = True
    settings.separated_pairs = ["plans.0 beside maps.0"]
    harness.dispatcher = BatchDispatcher(state, settings, 3, harness.now_ms)
    for worker in ("w1", "w2"):
        harness.heartbeat(worker)
    return harness


def start_maps(harness, worker="w1"):
    """Starts a task of maps on a worker; returns the row of its run."""
    step = {"cpu_milli": 1_000, "estimated_ms": 1_000}
    harness.submit(step, job_id="00000000000000bb", queue="maps")
    return [*started_runs(harness.heartbeat(worker))[0], "", 10]


@pytest.mark.parametrize(
    ("probability", "freedom", "expected"),
    [(0.025, 10, 2.228), (0.001, 20, 3.552), (1e-5, 30, 5.054)],
)
def test_student_quantiles_match_tables(probability, freedom, expected):
    """Too small a quantile would accuse pairs that are innocent."""
    computed = student_quantile(probability, freedom)
    assert computed == pytest.approx(expected, rel=0.02)


def test_moments_age_and_agree_with_plain_ones():
    """Evidence that never aged would keep a verdict for ever."""
    moments, values = AgedMoments(1_000), [1.0, 2.0, 4.0, 8.0]
    for value in values:
        moments.add(value, 5_000)
    assert moments.mean == pytest.approx(statistics.mean(values))
    assert moments.variance() == pytest.approx(statistics.variance(values))
    moments.age(6_000)
    assert moments.weight == pytest.approx(2)
    assert moments.mean == pytest.approx(statistics.mean(values))


def test_a_slow_pair_is_found_and_its_reverse_is_not(evidence):
    """Without the direction, the kind that does the harm would look slow."""
    found, _ = evidence()
    assert list(found.separated) == ["plans.0"]
    pair = found.separated["plans.0"]["maps.0"]
    fields = pair.to_fields()
    assert fields["slow_down_low"] < 2.0 < fields["slow_down_high"]


@pytest.mark.parametrize("factor", [1.0, 1.1])
def test_a_small_slow_down_is_not_taken_up(evidence, factor):
    """A wait would cost callers more than so small a slow-down."""
    assert not evidence(factor, 200)[0].separated


def test_a_handful_of_samples_is_no_verdict(evidence):
    """A few slow runs may have any other cause."""
    assert not evidence(3.0, 18)[0].separated


def test_a_pair_is_dropped_when_its_evidence_ages(evidence):
    """A pair that is always kept apart would otherwise never be released."""
    found, now_ms = evidence()
    assert found.separated["plans.0"]
    found.review(lambda _: True, now_ms + HOUR_MS * 2)
    assert not found.separated["plans.0"]


def test_a_pair_is_dropped_when_its_evidence_turns(evidence):
    """A new release of a program may end what was learned of the former."""
    found, now_ms = evidence()
    found, _ = evidence(1.0, 600, now_ms + 1_000, found)
    assert not found.separated["plans.0"]


def test_one_machine_is_no_evidence(evidence):
    """A faulty machine on which two kinds meet would accuse them."""
    found, _ = evidence()
    pair = found.separated["plans.0"]["maps.0"]
    lonely = Pair("plans.0", "maps.0")
    for name in ("groups", "shares"):
        setattr(lonely, name, getattr(pair, name))
    lonely.machines = {"vm1"}
    assert not lonely.is_harmful(0.01, 30_000)


def test_the_number_of_kinds_is_bounded():
    """Images are named by callers, and each kind costs memory."""
    evidence = ServiceEvidence("desk")
    for number in range(10 * MAX_KINDS):
        evidence.add_run(ended_run(f"image:{number}", "s"), 1_000)
    assert len(evidence.kinds) == MAX_KINDS
    assert evidence.include_kind("later", HOUR_MS)
    assert len(evidence.kinds) == MAX_KINDS


def test_the_totals_of_a_worker_are_bounded(separating):
    """A worker that runs ever new images would use ever more memory."""
    for number in range(2 * MAX_TOTALS):
        job_id, image = f"{number:016x}", f"image-{number}"
        separating.submit({"cpu_milli": 1, "image": image}, job_id=job_id)
        ((task, run),) = started_runs(separating.heartbeat("w1"))
        separating.advance(100)
        separating.heartbeat("w1", ended=[(number + 1, task, run, "done")])
    (neighbours,) = separating.dispatcher.interference.workers.values()
    assert len(neighbours.totals_ms) <= MAX_TOTALS + 2


@pytest.mark.parametrize("name", ["pairs", "tails", "slow", "leader"])
def test_pairs_are_found_and_none_is_accused_wrongly(name):
    """A confounder must neither hide a pair nor make up one."""
    played = [play(name, seed)[0] for seed in (1, 2)]
    assert any(simulation.found for simulation in played)
    assert not any(wrong_pairs(simulation) for simulation in played)


@pytest.mark.parametrize("name", ["tails-none", "slow-none"])
def test_loads_without_a_pair_accuse_none(name):
    """Long tails and a slow worker look like neighbours that do harm."""
    simulation, _ = play(name, 3)
    assert not simulation.found


def test_separation_gains_where_there_is_room_and_costs_nothing_where_not():
    """Keeping tasks apart in a full pool would delay starts."""
    gains = [
        play("pairs", seed)[1] - play("pairs", seed, False)[1]
        for seed in (1, 2)
    ]
    assert sum(gains) > 0
    assert play("full", 1)[1] >= play("full", 1, False)[1]


def test_a_task_waits_for_a_worker_without_its_neighbour(separating):
    """It would run beside its neighbour although another worker is free."""
    row = start_maps(separating)
    separating.submit({"cpu_milli": 1_000, "estimated_ms": 1_000})
    assert not separating.heartbeat("w1", [row]).starts
    assert len(separating.heartbeat("w2").starts) == 1


@pytest.mark.parametrize("reason", ["full", "late", "excluded", "draining"])
def test_a_task_starts_beside_its_neighbour_without_other_room(
    separating, reason
):
    """A start that can happen must not be lost to a separation."""
    row = start_maps(separating)
    other = separating.dispatcher.workers.by_id["w2"]
    estimated_ms = 1_000
    if reason == "full":
        separating.submit({"cpu_milli": 4_000}, job_id="0" * 16)
        assert separating.heartbeat("w2").starts
    elif reason == "late":
        estimated_ms = 100_000_000
        separating.dispatcher.state.routes.queue_of("plans").stretch = 1
        separating.dispatcher.state.routes.queue_of(
            "plans"
        ).target_latency_ms = 100
    elif reason == "excluded":
        other.excluded_until_ms = separating.now_ms + 10_000
    else:
        separating.heartbeat("w2", draining=True)
    separating.submit({"cpu_milli": 1_000, "estimated_ms": estimated_ms})
    assert len(separating.heartbeat("w1", [row]).starts) == 1


def test_a_task_is_held_back_for_one_heartbeat_interval_at_most(separating):
    """Room that another worker never uses would delay a task for ever."""
    row = start_maps(separating)
    separating.submit({"cpu_milli": 1_000, "estimated_ms": 1_000})
    assert not separating.heartbeat("w1", [row]).starts
    separating.advance(separating.dispatcher.heartbeat_interval_ms)
    assert len(separating.heartbeat("w1", [row]).starts) == 1


def test_only_as_many_tasks_wait_as_others_have_room_for(separating):
    """Tasks without room elsewhere would lose the room that they have."""
    row = start_maps(separating)
    separating.submit({"cpu_milli": 1_000, "count": 6, "estimated_ms": 1_000})
    assert len(separating.heartbeat("w1", [row]).starts) == 2
    assert len(separating.heartbeat("w2").starts) == 4


def test_lasting_tasks_never_wait(separating):
    """A lasting task is owed a place as soon as there is room."""
    row = start_maps(separating)
    separating.submit({"cpu_milli": 1_000, "lasting": True})
    assert len(separating.heartbeat("w1", [row]).starts) == 1


def test_a_pair_that_is_ruled_out_shares_workers(separating):
    """An operator must be able to overrule what was learned."""
    table = separating.dispatcher.interference
    table.unseparated_pairs = set(table.separated_pairs)
    row = start_maps(separating)
    separating.submit({"cpu_milli": 1_000, "estimated_ms": 1_000})
    assert len(separating.heartbeat("w1", [row]).starts) == 1


def test_the_part_is_off_by_default(harness):
    """Deployments that do not ask for it must be served as before."""
    assert harness.dispatcher.interference is None


def test_the_metrics_hold_the_table():
    """Operators would see a wait without its cause."""
    simulation, _ = play("pairs", 1)
    metrics = Metrics()
    table = simulation.harness.dispatcher.interference
    table.publish(metrics, simulation.harness.now_ms)
    rows = metrics.to_document()["tables"]["interference"]
    separated = [row for row in rows if row["separated"]]
    assert {(row["kind"], row["neighbour"]) for row in separated} <= TRUE_PAIRS
    assert all(row["separated_for_ms"] > 0 for row in separated)
    assert metrics.gauges["interference_separated_pairs"] == len(separated)
    assert metrics.counters["interference_runs"] > 0


@pytest.mark.parametrize("served", [True, False])
def test_the_command_prints_the_served_table(served, capsys):
    """A process without the table must not look like one without pairs."""
    metrics = Metrics()
    if served:
        simulation, _ = play("pairs", 1)
        table = simulation.harness.dispatcher.interference
        table.publish(metrics, simulation.harness.now_ms)

    async def main():
        stopping = trio.Event()
        app = StatusApp(ProcessInfo(metrics, None, stopping))
        async with trio.open_nursery() as nursery:
            binds = await nursery.start(
                serve_http, app, "127.0.0.1", 0, stopping, 100
            )
            command = ["jobs", "interference", f"{binds[0]}/metrics"]
            code = await trio.to_thread.run_sync(run, command)
            stopping.set()
        return code

    assert trio.run(main) == (0 if served else 1)
    output = capsys.readouterr()
    assert ("plans.0" in output.out) == served
    assert ("has no table" in output.err) != served


def test_malformed_pairs_in_the_settings_are_found():
    """A pair with a typing error would silently have no effect."""
    document = {
        "separated_pairs": ["plans.0", "a beside b"],
        "unseparated_pairs": ["b beside a"],
    }
    findings = settings_from_document(
        document
        | {
            "node_id": "n",
            "cluster_id": "c",
            "availability_zone": "z",
            "voters": ["n"],
            "data_dir": "d",
            "key_files": ["k.key"],
            "peers": [],
        }
    ).error.lines()
    assert len(findings) == 2
    assert "separated_pairs[0]" in findings[0]
    assert "unseparated_pairs" in findings[1]


def main():
    """Plays the seeds of a range on loads, and prints what was found."""
    first, last, *names = sys.argv[1:]
    for name in names or LOADS:
        found, wrong, times, shares = 0, 0, [], []
        for seed in range(int(first), int(last)):
            simulation, share = play(name, seed)
            wrong += len(wrong_pairs(simulation))
            found += bool(simulation.found)
            times += sorted(simulation.found.values())[:1]
            shares.append((share, play(name, seed, False)[1]))
        means = [
            statistics.mean(values) for values in zip(*shares, strict=True)
        ]
        times = [statistics.median(times)] if times else []
        print(name, "found", found, "wrong", wrong, "ms", times, means)


if __name__ == "__main__":
    main()
