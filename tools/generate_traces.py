"""Generates the traces and expect files in ``traces/`` from fixed seeds.

Usage: generate_traces.py FOLDER
"""

import pathlib
import random
import sys

from trace_expectations import write_expectations
from trace_fleets import DEPLOYMENTS, build_fleet

from wigeonport import plan_events as events
from wigeonport.registries import Registry
from wigeonport.trace_kinds import ActualJob, FaultsChanged
from wigeonport.traces import DEFAULT_ANSWER_DELAYS, TraceWriter
from wigeonport.views import FAILED, READY, Size

LEASE_MS = 3_000
LEASE_INTERVAL_MS = 2_000
ZONE_REPORT_INTERVAL_MS = 3_000
DEMAND_INTERVAL_MS = 1_000
DEMAND_LAG_MS = 400
MEAN_SLOTS = 12
PEAK_FACTOR = 5
LOW_FACTOR = 0.05
PEAK_MS = 8_000
SEQUENCES_PER_MS = 1_000

scenarios = Registry("scenario")


class TraceBuilder:
    """Collects the events of one generated trace.

    Attributes:
        deployment: Deployment whose fleet the trace uses.
        random: Random number generator with the trace's seed.
        seed: Seed, which the trace's header also gives the planner.
        end_ms: End of the trace; events from then on are not written.
        settings: Planner settings for the trace's header.
        events: (time in ms, event) in any order.
    """

    __slots__ = (
        "deployment",
        "random",
        "seed",
        "end_ms",
        "settings",
        "events",
    )

    def __init__(self, deployment, seed, end_ms):
        self.deployment = deployment
        self.random = random.Random(seed)
        self.seed = seed
        self.end_ms = end_ms
        self.settings = dict(deployment.weights)
        self.events = []

    @property
    def pools(self):
        """Names of the deployment's pools; the last is the spare pool."""
        return self.deployment.pools

    def vm_name(self, pool, zone, number=1):
        """Returns the name of a VM by pool index, zone index and number."""
        zone_name = self.deployment.zones[zone]
        return f"{self.pools[pool]}-{zone_name}-{number}"

    def add(self, at_ms, event):
        """Adds an event that reaches the planner at ``at_ms``."""
        self.events.append((at_ms, event))

    def load_fleet(self, due_ms=None):
        """Adds the fleet; ``due_ms`` makes maintenance of all VMs due then."""
        fleet = build_fleet(self.deployment)
        if due_ms is not None:
            for vm in fleet.vms.values():
                vm.due_ms = due_ms
        self.add(0, events.FleetLoaded(fleet))
        return fleet

    def renew_lease(self, start_ms, end_ms, term):
        """Adds renewals of the leader lease for a term."""
        for at_ms in range(start_ms, end_ms, LEASE_INTERVAL_MS):
            until_ms = at_ms + LEASE_MS
            self.add(at_ms, events.LeadershipChanged(term, until_ms))

    def report_zones(self):
        """Adds periodic reports of all zones."""
        for at_ms in range(0, self.end_ms, ZONE_REPORT_INTERVAL_MS):
            for zone in self.deployment.zones:
                self.add(at_ms, events.ZoneReported(zone, at_ms))

    def report_vm(self, at_ms, vm, state):
        """Adds a report of a VM's state."""
        sequence = at_ms * SEQUENCES_PER_MS
        self.add(at_ms, events.VmReported(vm, state, sequence))

    def report_demand(self, at_ms, pool, slots):
        """Adds a demand report, which arrives ``DEMAND_LAG_MS`` later."""
        arrives_ms = at_ms + DEMAND_LAG_MS
        service = self.pools[pool]
        self.add(
            arrives_ms,
            events.DemandReported(service, round(slots, 1), at_ms),
        )

    def rotate_peaks(self, start_ms, end_ms, peak_ms=PEAK_MS):
        """Adds demand that peaks in each service in turn for ``peak_ms``."""
        for at_ms in range(start_ms, end_ms, DEMAND_INTERVAL_MS):
            peaking = (at_ms - start_ms) // peak_ms % len(self.pools)
            for index in range(len(self.pools)):
                factor = PEAK_FACTOR if index == peaking else LOW_FACTOR
                noise = self.random.uniform(0.95, 1.05)
                self.report_demand(at_ms, index, MEAN_SLOTS * factor * noise)

    def submit_job(self, at_ms, name, **fields):
        """Adds a job and its actual usage, which it declares by default."""
        used = fields.pop("used")
        run_ms = fields.pop("run_ms")
        values = {
            "team": "planners",
            "pool": self.pools[0],
            "job_kind": "plan",
            "declared": used,
            "declared_run_ms": run_ms,
            **fields,
        }
        self.add(at_ms, ActualJob(name, used, run_ms))
        self.add(at_ms, events.JobSubmitted(name, **values))

    def worker_share(self, cores, memory):
        """Returns a Size as fractions of a worker's cores and memory."""
        size = self.deployment.size
        return Size(size.cores * cores, int(size.memory_mb * memory))

    def add_base_events(self, due_ms=None):
        """Adds the fleet, and zone reports and a leader until the end."""
        self.load_fleet(due_ms)
        self.report_zones()
        self.renew_lease(0, self.end_ms, 1)

    def write(self, path):
        """Writes the trace to a file."""
        with open(path, "w", encoding="utf-8") as file:
            self.write_to(file)

    def write_to(self, file):
        """Writes the trace to an open file."""
        writer = TraceWriter(file)
        writer.write_header(
            {
                "deployment": self.deployment.name,
                "seed": self.seed,
                "tick_ms": 1_000,
                "end_ms": self.end_ms,
                "settings": self.settings,
                "answers": DEFAULT_ANSWER_DELAYS,
            }
        )
        for at_ms, event in sorted(self.events, key=lambda e: e[0]):
            if at_ms < self.end_ms:
                writer.write(at_ms, event)


@scenarios.register("rotation")
def build_rotation(deployment, seed, peak_ms=PEAK_MS, end_ms=240_000):
    """Each service in turn peaks for 8 s; benchmarks pass other times."""
    builder = TraceBuilder(deployment, seed, end_ms)
    builder.add_base_events()
    builder.rotate_peaks(0, end_ms, peak_ms)
    return builder


@scenarios.register("long_rotation")
def build_long_rotation(deployment, seed):
    """Each service in turn peaks for 30 s, long enough to move VMs."""
    return build_rotation(deployment, seed, 30_000, 480_000)


@scenarios.register("sustained_peak")
def build_sustained_peak(deployment, seed):
    """One service peaks for 100 s; then its demand falls back."""
    builder = TraceBuilder(deployment, seed, 240_000)
    builder.add_base_events()
    for at_ms in range(0, 240_000, DEMAND_INTERVAL_MS):
        for index in range(len(builder.pools)):
            is_peak = index == 1 and 20_000 <= at_ms < 120_000
            factor = PEAK_FACTOR if is_peak else 1
            builder.report_demand(at_ms, index, MEAN_SLOTS * factor)
    return builder


@scenarios.register("burst_in_wave")
def build_burst_in_wave(deployment, seed):
    """A service needs all its VMs for 60 s during a maintenance wave."""
    builder = TraceBuilder(deployment, seed, 420_000)
    builder.add_base_events(due_ms=2 * 86_400_000)
    for at_ms in range(0, 420_000, DEMAND_INTERVAL_MS):
        for index in range(len(builder.pools)):
            is_burst = index == 1 and 40_000 <= at_ms < 100_000
            factor = PEAK_FACTOR if is_burst else LOW_FACTOR
            builder.report_demand(at_ms, index, MEAN_SLOTS * factor)
    return builder


@scenarios.register("failures_in_wave")
def build_failures_in_wave(deployment, seed):
    """A rack fails during a maintenance wave and is repaired after 40 s."""
    builder = TraceBuilder(deployment, seed, 480_000)
    builder.add_base_events(due_ms=2 * 86_400_000)
    for number, pool in ((1, 0), (2, 0), (1, 1), (2, 1)):
        vm = builder.vm_name(pool, 1, number)
        builder.report_vm(30_000 + 100 * number, vm, FAILED)
        builder.report_vm(70_000 + 100 * number, vm, READY)
    return builder


@scenarios.register("second_loss")
def build_second_loss(deployment, seed):
    """A VM fails again 8 s after its repair while others await maintenance."""
    builder = TraceBuilder(deployment, seed, 400_000)
    fleet = builder.load_fleet()
    builder.report_zones()
    builder.renew_lease(0, builder.end_ms, 1)
    for vm in fleet.vms.values():
        if vm.pool == builder.pools[1]:
            vm.due_ms = 2 * 86_400_000
    failed_vm = builder.vm_name(1, 0)
    builder.report_vm(500, failed_vm, FAILED)
    builder.report_vm(70_000, failed_vm, READY)
    builder.report_vm(78_000, failed_vm, FAILED)
    builder.report_vm(120_000, failed_vm, READY)
    return builder


@scenarios.register("isolated_leader")
def build_isolated_leader(deployment, seed):
    """The leader is cut off during a wave and leads again in a later term."""
    builder = TraceBuilder(deployment, seed, 480_000)
    builder.load_fleet(due_ms=2 * 86_400_000)
    builder.report_zones()
    builder.renew_lease(0, 30_000, 1)
    builder.add(90_000, events.LeadershipChanged(2, 0))
    builder.renew_lease(150_000, builder.end_ms, 3)
    return builder


@scenarios.register("bad_workers")
def build_bad_workers(deployment, seed):
    """One worker fails every task; jobs declare three times what they use."""
    builder = TraceBuilder(deployment, seed, 180_000)
    builder.add_base_events()
    failing_worker = builder.vm_name(0, 0)
    builder.add(0, FaultsChanged(failing_workers=(failing_worker,)))
    for number in range(100):
        builder.submit_job(
            1_000 + 400 * number,
            f"plan-{number}",
            used=builder.worker_share(0.3, 0.3),
            run_ms=builder.random.randrange(4_000, 8_000),
            declared=builder.worker_share(0.9, 0.9),
            declared_run_ms=60_000,
        )
    return builder


@scenarios.register("never_jobs")
def build_never_jobs(deployment, seed):
    """Jobs that can never run are submitted among jobs that finish."""
    builder = TraceBuilder(deployment, seed, 180_000)
    builder.add_base_events()
    small = builder.worker_share(0.2, 0.2)
    for number in range(30):
        builder.submit_job(
            1_000 + 700 * number,
            f"plan-{number}",
            used=small,
            run_ms=builder.random.randrange(3_000, 6_000),
        )
    large = builder.worker_share(2, 0.5)
    builder.submit_job(
        2_000, "too-large", used=large, run_ms=5_000, job_kind="a"
    )
    graphics = Size(1, 1_024, 1)
    builder.submit_job(
        2_000, "no-device", used=graphics, run_ms=5_000, job_kind="b"
    )
    builder.submit_job(
        2_000, "no-team", used=small, run_ms=5_000, team="unknown"
    )
    builder.submit_job(2_000, "broken", used=small, run_ms=5_000, job_kind="c")
    builder.add(0, FaultsChanged(failing_jobs=("broken",)))
    return builder


@scenarios.register("cancellation_wave")
def build_cancellation_wave(deployment, seed):
    """A team cancels all its 300 jobs at once."""
    builder = TraceBuilder(deployment, seed, 60_000)
    builder.add_base_events()
    for number in range(400):
        team = "surveyors" if number % 4 else "planners"
        builder.submit_job(
            1_000 + 10 * number,
            f"{team}-{number}",
            team=team,
            used=builder.worker_share(0.25, 0.1),
            run_ms=6_000,
        )
    builder.add(15_000, events.JobsCancelled(team="surveyors"))
    return builder


@scenarios.register("urgent_work")
def build_urgent_work(deployment, seed):
    """Urgent jobs arrive while long tasks fill their pool."""
    builder = TraceBuilder(deployment, seed, 120_000)
    builder.add_base_events()
    for number in range(24):
        builder.submit_job(
            1_000,
            f"long-{number}",
            used=builder.worker_share(0.5, 0.4),
            run_ms=300_000,
            can_checkpoint=number % 3 > 0,
        )
    builder.add(0, FaultsChanged(stuck_jobs=("long-1", "long-4", "long-7")))
    for number in range(8):
        builder.submit_job(
            20_000 + 6_000 * number,
            f"urgent-{number}",
            used=builder.worker_share(0.4, 0.1),
            run_ms=20_000,
            urgent=True,
            job_kind="replan",
            team="surveyors",
        )
    return builder


@scenarios.register("wrong_sizes")
def build_wrong_sizes(deployment, seed):
    """Half the jobs declare four times what they use, the others a third."""
    builder = TraceBuilder(deployment, seed, 300_000)
    builder.add_base_events()
    for number in range(90):
        generous = number % 2 == 0
        factor = 4 if generous else 1 / 3
        builder.submit_job(
            1_000 + 600 * number,
            f"survey-{number}",
            job_kind="generous" if generous else "modest",
            used=builder.worker_share(0.2, 0.2),
            run_ms=builder.random.randrange(8_000, 12_000),
            declared=builder.worker_share(0.2 * factor, 0.2 * factor),
            declared_run_ms=round(10_000 * factor),
        )
    return builder


@scenarios.register("scattered_wave")
def build_scattered_wave(deployment, seed):
    """The VMs of a wave are due at random times in all zones."""
    builder = TraceBuilder(deployment, seed, 480_000)
    fleet = builder.load_fleet()
    builder.report_zones()
    builder.renew_lease(0, builder.end_ms, 1)
    for vm in fleet.vms.values():
        hours = builder.random.randrange(30, 70)
        vm.due_ms = hours * 3_600_000
    return builder


@scenarios.register("version_rollout")
def build_version_rollout(deployment, seed):
    """A new fleet version assigns four VMs to other pools."""
    builder = TraceBuilder(deployment, seed, 120_000)
    builder.add_base_events()
    fleet = build_fleet(deployment)
    fleet.version = 2
    last = len(builder.pools) - 1
    for pool, zone, target in ((0, 0, 1), (1, 1, 2), (last, 0, 3), (2, 2, 3)):
        vm = fleet.vms[builder.vm_name(pool, zone)]
        vm.home_pool = builder.pools[target]
    builder.add(20_000, events.FleetLoaded(fleet))
    return builder


@scenarios.register("stuck_reboot")
def build_stuck_reboot(deployment, seed):
    """A VM does not return from its reboot; an operator resumes the wave."""
    builder = TraceBuilder(deployment, seed, 600_000)
    builder.add_base_events(due_ms=2 * 86_400_000)
    stuck_vm = builder.vm_name(0, 0)
    builder.add(0, FaultsChanged(stuck_reboots=(stuck_vm,)))
    builder.add(200_000, events.MaintenanceControlled("resume"))
    builder.report_vm(210_000, stuck_vm, READY)
    builder.add(210_000, FaultsChanged())
    return builder


def main(arguments):
    """Writes the traces and expect files of all deployments and scenarios."""
    folder = pathlib.Path(arguments[0])
    folder.mkdir(exist_ok=True)
    for deployment_index, deployment in enumerate(DEPLOYMENTS.values()):
        for index, name in enumerate(scenarios.names()):
            build = scenarios.entries[name]
            builder = build(deployment, 100 * deployment_index + index)
            stem = f"{deployment.name}_{name}"
            builder.write(folder / f"{stem}.jsonl")
            expect_path = folder / f"{stem}.expect.jsonl"
            write_expectations(expect_path, name, builder)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
