"""Tests of a system that is flooded with complete jobs of legal size.

Each test starts three controls and a front on loopback addresses, on machines
with little memory. A crowd submits jobs that the front accepts, and far more
of them than can be held. The tests check that each process lives, that its
memory and its descriptors stay within those of its machine, that an ordinary
job is accepted afterwards, and that the answers to the crowd were true.
"""

import contextlib
import random
import signal

import httpcore
import pytest
import trio
from flood_fleets import (
    FloodFleet,
    call,
    call_at_start,
    count_descriptors,
    find_net,
    read_memory_mb,
    submit_job,
)
from job_floods import JobFlood, job_forms
from platform_emulator import (
    CALL_ERRORS,
    EmulatedWorker,
    RunChecker,
    exchange,
)
from platform_fleet import FRONT_PORT
from platform_soak import HOST, make_configuration

from wigeonport.registries import Registry

MAX_FDS = 1_500
FRONT_MEMORY_MB = 100
CONTROL_MEMORY_MB = 160
# Longer than the deadline of the callers times the jobs of each client.
CROWD_TIMEOUT_S = 30.0
# Time for which jobs whose answers nobody reads are handled.
UNREAD_S = 10.0
FAULT_AFTER_S = 1.0
PAUSE_S = 4.0
FILLED_AFTER_S = 4.0
CROWD_KEY = "crowd-key"
ORDINARY_KEY = "ordinary-key"
READ_TRIES = 12
REFUSED = (400, 413, 429, 503)
GONE = (404, 410)

flood_faults = Registry("fault during a flood")


class JobCrowd:
    """One row of the table of crowds.

    Attributes:
        form: Name of the form of the jobs.
        clients: Number of clients.
        jobs: Number of jobs of each client.
        variant: Words that switch something on: ``unread`` answers, a
            ``key`` of a tenant, ``cancelled`` jobs, or ``workers`` that run
            them.
        fault: Name of the fault during the crowd.
    """

    __slots__ = ("form", "clients", "jobs", "variant", "fault")

    def __init__(self, form, clients, jobs, variant="", fault="none"):
        self.form = form
        self.clients = clients
        self.jobs = jobs
        self.variant = variant.split()
        self.fault = fault

    @property
    def name(self):
        """Name of the test."""
        words = [self.form, *self.variant, self.fault]
        return "-".join(words if self.jobs <= 10 else [*words, str(self.jobs)])


CROWDS = [
    JobCrowd("many-tasks", 40, 2),
    JobCrowd("many-tasks", 40, 2, "unread key", "pause-leader"),
    JobCrowd("many-tasks", 40, 2, "workers"),
    JobCrowd("many-steps", 100, 4),
    JobCrowd("single-tasks", 100, 8, "unread"),
    JobCrowd("single-tasks", 100, 8, "key", "kill-leader"),
    JobCrowd("long-texts", 100, 4, "", "kill-follower"),
    JobCrowd("long-texts", 100, 4, "unread key", "pause-leader"),
    JobCrowd("long-texts", 100, 6, "cancelled"),
    JobCrowd("long-texts", 60, 30, "cancelled"),
    JobCrowd("single-tasks", 100, 8, "key workers"),
    JobCrowd("single-tasks", 100, 8, "", "restart-controls"),
    JobCrowd("lasting-tasks", 40, 2),
    JobCrowd("gangs", 40, 2, "workers"),
    JobCrowd("occurrences", 40, 2, "workers"),
]


class CrowdedFleet(FloodFleet):
    """Three controls and a front with little memory.

    Attributes:
        failures: Texts of the checks that failed.
    """

    __slots__ = ("failures",)

    def __init__(self, folder, net):
        super().__init__(folder, net, 0, MAX_FDS, cores=3)
        self.failures = []

    def memory_of(self, process):
        """Returns the memory, in MB, of the machine of a process."""
        is_front = process in self.fronts
        return FRONT_MEMORY_MB if is_front else CONTROL_MEMORY_MB

    def check(self, holds, text):
        """Notes a check that failed."""
        if not holds:
            self.failures.append(text)

    def check_process(self, process):
        """Checks life, memory and descriptors of a process."""
        if process.process.poll() is not None:
            self.failures.append(f"{process.host} has ended")
            return
        memory_mb = self.memory_of(process)
        used_mb = read_memory_mb(process, "VmHWM")
        self.check(
            used_mb <= memory_mb,
            f"{process.host}: {used_mb:.0f} MB of {memory_mb}",
        )
        descriptors = count_descriptors(process)
        self.check(
            descriptors <= MAX_FDS,
            f"{process.host}: {descriptors} descriptors",
        )

    async def find_leader(self):
        """Returns the control that leads, or the first one."""
        for core, address in zip(
            self.cores, self.control_addresses, strict=True
        ):
            with contextlib.suppress(*CALL_ERRORS):
                url = f"http://{address}/v1/config"
                if await get_status(url) == 200:
                    return core
        return self.cores[0]


async def get_status(url):
    """Returns the status of one GET, without following its redirect."""
    async with httpcore.AsyncConnectionPool() as pool:
        with trio.fail_after(1.0):
            response = await pool.request("GET", url)
    return response.status


@flood_faults.register("none")
async def break_nothing(fleet):
    """Leaves all processes alone."""


@flood_faults.register("pause-leader")
async def pause_leader(fleet):
    """Stops the leader by a signal for a while."""
    leader = await fleet.find_leader()
    leader.send(signal.SIGSTOP)
    await trio.sleep(PAUSE_S)
    leader.send(signal.SIGCONT)


async def kill_and_start(fleet, process):
    """Kills a control and starts it again."""
    fleet.check_process(process)
    await process.stop()
    await trio.sleep(1.0)
    await process.start()


@flood_faults.register("kill-leader")
async def kill_leader(fleet):
    """Kills the leader and starts it again."""
    await kill_and_start(fleet, await fleet.find_leader())


@flood_faults.register("kill-follower")
async def kill_follower(fleet):
    """Kills another control than the leader and starts it again."""
    leader = await fleet.find_leader()
    (follower, *_) = [core for core in fleet.cores if core is not leader]
    await kill_and_start(fleet, follower)


@flood_faults.register("restart-controls")
async def restart_controls(fleet):
    """Kills all controls at once, when the crowd has filled them."""
    await trio.sleep(FILLED_AFTER_S)
    for core in fleet.cores:
        fleet.check_process(core)
        core.send(signal.SIGKILL)
    for core in fleet.cores:
        await core.stop()
        await core.start()


async def configure(fleet, with_keys):
    """Sends a configuration, with two tenants if keys are required."""
    document = make_configuration(1)
    if with_keys:
        document["tenants"] = [
            {"name": "t1", "api-keys": [CROWD_KEY], "weight": 4},
            {"name": "t2", "api-keys": [ORDINARY_KEY], "weight": 1},
        ]
    url = f"http://{fleet.control_addresses[0]}/v1/config"
    return await call_at_start("PUT", url, document)


def make_caller(with_keys):
    """Returns a function that calls as an ordinary caller."""
    key = (("Authorization", f"Token {ORDINARY_KEY}"),) if with_keys else ()

    async def call_ordinarily(method, url, document=None, headers=()):
        return await call(method, url, document, (*headers, *key))

    return call_ordinarily


async def run_workers(fleet, count):
    """Runs workers of the service until cancelled."""
    async with trio.open_nursery() as nursery:
        for number in range(count):
            worker = EmulatedWorker(
                f"w{number}",
                "desk",
                fleet.control_addresses,
                RunChecker(),
                random.Random(number),
            )
            nursery.start_soon(worker.run)


async def play_crowd(fleet, crowd, flood):
    """Plays a crowd and its fault until its jobs were answered."""
    address = (fleet.fronts[0].host, FRONT_PORT)
    clients = flood.gather_clients(address, crowd.clients)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(clients.run)
        await trio.sleep(FAULT_AFTER_S)
        await flood_faults.get(crowd.fault).ok(fleet)
        if flood.reads_answers:
            with trio.move_on_after(CROWD_TIMEOUT_S):
                await clients.gathered.wait()
        else:
            await trio.sleep(UNREAD_S)
        nursery.cancel_scope.cancel()


async def read_job(fleet, path, headers):
    """Returns the status of a job's path once it is known, or None."""
    url = f"http://{fleet.front_addresses[0]}{path}"
    for _ in range(READ_TRIES):
        with contextlib.suppress(*CALL_ERRORS):
            status, _ = await exchange(
                "GET", url, None, (("Host", HOST), *headers), 5.0
            )
            if status in (200, *GONE):
                return status
        await trio.sleep(0.5)
    return None


async def check_answers(fleet, flood, headers):
    """Checks that each answer to the crowd was true."""
    for path, status in flood.told.items():
        if status == 200:
            expected = (200,)
        elif status in REFUSED:
            expected = GONE
        else:
            continue
        found = await read_job(fleet, path, headers)
        if found not in expected:
            fleet.failures.append(f"told {status}, but GET shows {found}")
            return


async def flood_with_jobs(folder, crowd):
    """Plays a crowd against a new fleet; returns the failed checks."""
    fleet = CrowdedFleet(folder, find_net())
    with_keys = "key" in crowd.variant
    key_lines = [f"Authorization: Token {CROWD_KEY}"] if with_keys else []
    key_headers = [tuple(line.split(": ")) for line in key_lines]
    flood = JobFlood(
        job_forms.get(crowd.form).ok(),
        crowd.jobs,
        key_lines,
        "unread" not in crowd.variant,
        "cancelled" in crowd.variant,
    )
    make_call = make_caller(with_keys)
    try:
        async with trio.open_nursery() as nursery:
            await fleet.start(nursery)
            fleet.check(await configure(fleet, with_keys), "no configuration")
            fleet.check(
                await submit_job(fleet, make_call), "no job before the crowd"
            )
            if "workers" in crowd.variant:
                nursery.start_soon(run_workers, fleet, 3)
            await play_crowd(fleet, crowd, flood)
            fleet.check(
                await submit_job(fleet, make_call), "no job after the crowd"
            )
            await check_answers(fleet, flood, key_headers)
            for process in (*fleet.cores, *fleet.fronts):
                fleet.check_process(process)
            nursery.cancel_scope.cancel()
    finally:
        with trio.CancelScope(shield=True):
            await fleet.stop()
    return fleet.failures


@pytest.mark.parametrize("crowd", CROWDS, ids=[crowd.name for crowd in CROWDS])
def test_jobs_of_legal_size_stay_within_the_machines(crowd, tmp_path):
    """Guards against complete jobs that take a process past its memory.

    Nothing bounded what was accepted and had not ended, what waited for a
    decision, and what the log and the links held of it.
    """
    failures = trio.run(flood_with_jobs, tmp_path, crowd)
    assert failures == []
