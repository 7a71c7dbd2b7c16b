"""Size and processor time of a fleet version at several sizes.

A version is written once by each control, sent to its subscribers and read
by each entry. Run with ``PYTHONPATH=tools:.``.
"""

import json
import statistics
import time

from measures import describe_machine, fit_slope

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

SIZES = ((450, 84, 3), (900, 168, 5), (1_800, 335, 10))
TEAMS = 56
WORKERS_PER_RACK = 4
REPEATS = 15
NS_PER_MS = 1e6


def build_fleet(worker_count, pool_count, zone_count):
    """Returns a Fleet; every pool has one service."""
    fleet = Fleet(1)
    add(fleet, "regions", Region("region-1"))
    for number in range(zone_count):
        zone = AvailabilityZone(f"zone-{number}", "region-1")
        add(fleet, "zones", zone)
    for number in range(TEAMS):
        team = Team(
            id=f"team-{number}",
            processors=1_000,
            memory_mb=1_000_000,
            accelerators=0,
        )
        add(fleet, "teams", team)
    for number in range(pool_count):
        add(fleet, "pools", Pool(f"pool-{number}", f"team-{number % TEAMS}"))
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
        add(fleet, "services", service)
    for number in range(worker_count):
        add_worker(fleet, number, pool_count, zone_count)
    return fleet


def add(fleet, section, record):
    """Adds a record."""
    getattr(fleet, section)[record.id] = record


def add_worker(fleet, number, pool_count, zone_count):
    """Adds a worker and its rack."""
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
    add(fleet, "workers", worker)


def time_ms(function):
    """Returns the median processor time of a call in ms."""
    spent = []
    for _ in range(REPEATS):
        started_ns = time.process_time_ns()
        function()
        spent.append(time.process_time_ns() - started_ns)
    return statistics.median(spent) / NS_PER_MS


def measure(worker_count, pool_count, zone_count):
    """Returns the figures of one size by name."""
    fleet = build_fleet(worker_count, pool_count, zone_count)
    text = json.dumps(fleet.to_document()).encode()
    codec = codecs.get("thrift").ok()
    frame = codec.encode(ConfigUpdate(1, text, False))
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
        "version in bytes": len(text),
        "apply a patch (ms)": time_ms(lambda: patch.apply(fleet)),
        "write a version (ms)": time_ms(
            lambda: json.dumps(fleet.to_document())
        ),
        "encode an update (ms)": time_ms(
            lambda: codec.encode(ConfigUpdate(1, text, False))
        ),
        "decode an update (ms)": time_ms(lambda: codec.decode(frame)),
        "read a version (ms)": time_ms(lambda: json.loads(text)),
    }


def main():
    """Measures all sizes."""
    print("before:", describe_machine())
    rows = {size[0]: measure(*size) for size in SIZES}
    for workers, row in rows.items():
        for name, value in row.items():
            print(f"{workers:>5} workers, {name:<22} {value:10.2f}")
    for name in rows[SIZES[0][0]]:
        slope, base = fit_slope([(w, row[name]) for w, row in rows.items()])
        print(f"{name:<22} {base:10.2f} + {slope:.4f} for each worker")
    print("after:", describe_machine())


if __name__ == "__main__":
    main()
