"""Tests of complete entries between callers and endpoints."""

import trio
from entry_fixtures import outcome


def test_keyed_request_runs_once_over_two_entries(run_cluster):
    """A keyed request repeated at another entry must run only once.

    It fails if claims are known to one entry only.
    """

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


def test_failed_endpoint_leaves_post_unknown_and_run_once(run_cluster):
    """A POST whose endpoint fails during the answer must end as unknown.

    The endpoint closes the connection before or within its answer. It fails
    if the caller gets a partial answer, or if the entry runs the POST again.
    """

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
    """Each of 30 concurrent callers must get the answer to its own request.

    It fails if a reused connection delivers a late answer to the next
    request.
    """

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
    """Three entries must not send more than the endpoint has slots.

    Without leases each entry would use all 8 slots, and the endpoint would
    refuse the requests above that number.
    """

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
    """No entry may send requests to an endpoint 3 s after it began to leave.

    It fails if the announced state does not reach an entry, or if an entry
    keeps using its lease.
    """

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
    """Endpoints must stay usable when the entry that leases their slots dies.

    It fails if no other entry takes over as owner of the endpoint.
    """

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
