"""Tests of a whole entry between callers and endpoints."""

import trio
from entry_fixtures import outcome


def test_keyed_request_runs_once_over_two_entries(run_cluster):
    """Guards against a second run when a caller repeats elsewhere."""

    async def scenario(cluster):
        await cluster.start(2)
        await cluster.add_endpoint("e1", entries=(0, 1))
        for index in (0, 1):
            await cluster.wait_ready(index)
        headers = [("idempotency-key", "k1"), ("x-tag", "once")]
        answers = [
            await cluster.call(index, "POST", headers, content=b"order")
            for index in (0, 1, 0)
        ]
        assert [outcome(answer) for answer in answers] == ["completed"] * 3
        assert len({answer.content for answer in answers}) == 1
        runs = [run for run in cluster.runs() if run["tag"] == "once"]
        assert len(runs) == 1

    run_cluster(scenario)


def test_dead_endpoint_leaves_post_unknown_and_get_retried(run_cluster):
    """Guards against a partial answer and against a hidden second run."""

    async def scenario(cluster):
        await cluster.start(1)
        await cluster.add_endpoint("e1")
        await cluster.wait_ready()
        for failure in ("close", "short"):
            headers = [("x-fail", failure), ("x-tag", failure)]
            answer = await cluster.call(0, "POST", headers)
            assert (answer.status, outcome(answer)) == (502, "unknown")
            runs = [run for run in cluster.runs() if run["tag"] == failure]
            assert len(runs) == 1

    run_cluster(scenario)


def test_answers_reach_their_own_callers(run_cluster):
    """Guards against answers mixed up between concurrent callers."""

    async def scenario(cluster):
        await cluster.start(1)
        await cluster.add_endpoint("e1")
        await cluster.wait_ready()

        async def ask(number):
            delay_ms = str((number * 37) % 50)
            headers = [("x-tag", f"t{number}"), ("x-delay-ms", delay_ms)]
            answer = await cluster.call(0, "GET", headers)
            assert f't{number}"'.encode() in answer.content

        async with trio.open_nursery() as nursery:
            for number in range(30):
                nursery.start_soon(ask, number)

    run_cluster(scenario)


def test_entries_share_the_slots_of_an_endpoint(run_cluster):
    """Guards against three entries that overrun one endpoint."""

    async def scenario(cluster):
        await cluster.start(3)
        await cluster.add_endpoint("e1")
        for index in range(3):
            await cluster.wait_ready(index)
        statuses = []

        async def ask(index):
            for _ in range(10):
                headers = [("x-delay-ms", "20"), ("x-tag", "load")]
                answer = await cluster.call(index, "GET", headers)
                statuses.append(answer.status)

        async with trio.open_nursery() as nursery:
            for number in range(18):
                nursery.start_soon(ask, number % 3)
        assert statuses == [200] * 180
        refused = sum(
            program.metrics.counters.get("dispatchers_not_run", 0)
            for program in cluster.programs
        )
        # The endpoint frees a slot only after it has sent its answer.
        assert refused < 5

    run_cluster(scenario)


def test_leaving_endpoint_gets_no_work_from_any_entry(run_cluster):
    """Guards against work sent to an endpoint long after it left."""

    async def scenario(cluster):
        await cluster.start(3)
        leaving = await cluster.add_endpoint("e1")
        await cluster.add_endpoint("e2", entries=(1,))
        for index in range(3):
            await cluster.wait_ready(index)
        leaving.state = "leaving"
        await trio.sleep(3)
        for index in (0, 1, 2) * 10:
            answer = await cluster.call(index, "POST", [("x-tag", "after")])
            assert answer.status == 200
        runs = [run for run in cluster.runs() if run["tag"] == "after"]
        assert {run["endpoint"] for run in runs} == {"e2"}
        counters = [program.metrics.counters for program in cluster.programs]
        refused = [item.get("dispatchers_not_run", 0) for item in counters]
        assert refused == [0, 0, 0]

    run_cluster(scenario)


def test_endpoints_of_a_dead_entry_stay_usable(run_cluster):
    """Guards against endpoints lost with the entry that grants slots."""

    async def scenario(cluster):
        await cluster.start(2)
        await cluster.add_endpoint("e1", entries=(0, 1))
        for index in (0, 1):
            await cluster.wait_ready(index)
        cluster.scopes[0].cancel()
        await trio.sleep(5)
        answer = await cluster.call(1)
        assert answer.status == 200

    run_cluster(scenario)
