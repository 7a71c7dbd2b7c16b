"""Measures size and processor time of a fleet version at several sizes.

Run with ``PYTHONPATH=tools:.``. Each control writes a version once as JSON
and sends it to its subscribers in an update message; each entry reads it.

The output gives for each number of workers the size of the version as JSON in
bytes, and the median processor time in ms of applying a patch, writing the
version as JSON, encoding and decoding the update, and parsing the JSON. The
last rows give each figure as a straight line fitted over the number of
workers: value at 0 workers + increase per worker.
"""

import json
import statistics
import time

from measures import describe_machine, fit_line

from wigeonport.codecs import codecs
from wigeonport.configurations import ConfigUpdate
from wigeonport.fleet_records import (
    AvailabilityZone,
    Pool,
    Rack,
    Region,
    Service,
    Team,
    Worker,
)
from wigeonport.fleets import Fleet
from wigeonport.patches import patch_from_document

# Workers, pools and availability zones of each size.
SIZES = ((450, 84, 3), (900, 168, 5), (1_800, 335, 10))
TEAM_COUNT = 56
WORKERS_PER_RACK = 4
REPEATS = 15
NS_PER_MS = 1e6


def build_fleet(worker_count, pool_count, zone_count):
    """Returns a Fleet of the given size; every pool has one service."""
    fleet = Fleet(1)
    add_record(fleet, "regions", Region("region-1"))
    for number in range(zone_count):
        zone = AvailabilityZone(f"zone-{number}", "region-1")
        add_record(fleet, "zones", zone)
    for number in range(TEAM_COUNT):
        team = Team(
            id=f"team-{number}",
            processors=1_000,
            memory_mb=1_000_000,
            accelerators=0,
        )
        add_record(fleet, "teams", team)
    for number in range(pool_count):
        add_record(
            fleet,
            "pools",
            Pool(f"pool-{number}", f"team-{number % TEAM_COUNT}"),
        )
        service = Service(
            id=f"service-{number}",
            pool=f"pool-{number}",
            capacity_workers=2,
            max_unavailable=1,
            max_unavailable_share=None,
            slots_per_endpoint=8,
            connections_per_endpoint=64,
            default_deadline_ms=5_000,
        )
        add_record(fleet, "services", service)
    for number in range(worker_count):
        add_worker(fleet, number, pool_count, zone_count)
    return fleet


def add_record(fleet, section, record):
    """Adds a record to a section of the fleet under its id."""
    getattr(fleet, section)[record.id] = record


def add_worker(fleet, number, pool_count, zone_count):
    """Adds a worker, and its rack if the rack is new."""
    zone = f"zone-{number % zone_count}"
    rack = f"{zone}-rack-{number // zone_count // WORKERS_PER_RACK}"
    fleet.racks.setdefault(rack, Rack(rack, zone))
    worker = Worker(
        f"worker-{number}",
        zone,
        rack,
        16,
        32_768,
        0,
        f"pool-{number % pool_count}",
    )
    add_record(fleet, "workers", worker)


def measure_cpu_ms(function):
    """Returns the median processor time of REPEATS calls, in ms."""
    durations_ns = []
    for _ in range(REPEATS):
        started_ns = time.process_time_ns()
        function()
        durations_ns.append(time.process_time_ns() - started_ns)
    return statistics.median(durations_ns) / NS_PER_MS


def measure(worker_count, pool_count, zone_count):
    """Returns a mapping of row label to figure for one size."""
    fleet = build_fleet(worker_count, pool_count, zone_count)
    version_json = json.dumps(fleet.to_document()).encode()
    codec = codecs.get("thrift").ok()
    frame = codec.encode(ConfigUpdate(1, version_json, False))
    operation = {
        "operation": "set_service_capacity",
        "service": "service-1",
        "capacity_workers": 1,
    }
    patch = patch_from_document(
        {
            "id": "p",
            "against_version": 1,
            "author": "bench",
            "reason": "bench",
            "operations": [operation],
        }
    ).ok
    return {
        "version in bytes": len(version_json),
        "apply a patch (ms)": measure_cpu_ms(lambda: patch.apply(fleet)),
        "write a version (ms)": measure_cpu_ms(
            lambda: json.dumps(fleet.to_document())
        ),
        "encode an update (ms)": measure_cpu_ms(
            lambda: codec.encode(ConfigUpdate(1, version_json, False))
        ),
        "decode an update (ms)": measure_cpu_ms(lambda: codec.decode(frame)),
        "read a version (ms)": measure_cpu_ms(
            lambda: json.loads(version_json)
        ),
    }


def main():
    """Prints the figures of all sizes and the fitted lines."""
    print("before:", describe_machine())
    figures_by_size = {size[0]: measure(*size) for size in SIZES}
    for workers, figures in figures_by_size.items():
        for name, value in figures.items():
            print(f"{workers:>5} workers, {name:<22} {value:10.2f}")
    for name in figures_by_size[SIZES[0][0]]:
        slope, intercept = fit_line(
            [(w, figures[name]) for w, figures in figures_by_size.items()]
        )
        print(f"{name:<22} {intercept:10.2f} + {slope:.4f} per worker")
    print("after:", describe_machine())


if __name__ == "__main__":
    main()
