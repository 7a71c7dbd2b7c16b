"""Writes the example settings and first patches of both users.

Usage: write_examples.py [FOLDER]

The default folder is ``examples``. Its files are committed; this script
keeps their ports consistent.
"""

import pathlib
import sys

from wigeonport.yaml_documents import dump

ROOT = pathlib.Path(__file__).resolve().parent.parent
VMS_PER_ZONE = (3, 2, 2)
VOTERS_PER_ZONE = (2, 2, 1)
PORT_NAMES = (
    "callers_port",
    "announcements_port",
    "entry_links_port",
    "entry_status_port",
    "control_links_port",
    "operators_port",
)
WORKERS_PER_POOL = 6
WORKERS_PER_RACK = 4
MB_PER_GB = 1_024
FIRST_WINDOW_MINUTE = 60
WINDOW_MINUTES = 120

USERS = {
    "lagos": {
        "region": "lagos",
        "zones": ("ikeja", "lekki", "yaba"),
        "services": ("routedesk", "roster", "cortege", "crusade", "notices"),
        "spare": "notices",
        "team": "ogbeni-route-marshals",
        "processors": 16,
        "memory_gb": 32,
        "weights": {"buffer_cost": 1, "roll_out_time": 4, "moves": 1},
        "first_port": 21_000,
    },
    "kroumirie": {
        "region": "kroumirie",
        "zones": ("ain-draham", "tabarka", "fernana"),
        "services": ("survey", "crews", "walls", "haulage", "commons"),
        "spare": "commons",
        "team": "artisans-des-sentiers",
        "processors": 32,
        "memory_gb": 64,
        "weights": {"buffer_cost": 4, "roll_out_time": 1, "moves": 1},
        "first_port": 22_000,
    },
}


def list_nodes(user):
    """Returns a tuple of node id, zone, ports and is_voter for each VM.

    The ports map the name of a port setting to the port.
    """
    nodes = []
    for zone, count, voters in zip(
        user["zones"], VMS_PER_ZONE, VOTERS_PER_ZONE, strict=True
    ):
        for number in range(1, count + 1):
            first_port = user["first_port"] + 10 * len(nodes)
            ports = {n: first_port + i for i, n in enumerate(PORT_NAMES)}
            nodes.append((f"{zone}-{number}", zone, ports, number <= voters))
    return nodes


def make_settings(name, node, nodes):
    """Returns the settings document of one VM."""
    node_id, zone, ports, is_voter = node
    folder = f"run/{name}/{node_id}"
    document = {
        "node_id": node_id,
        "cluster_id": name,
        "availability_zone": zone,
        "host": "127.0.0.1",
        **ports,
        "voters": [other[0] for other in nodes if other[3]],
        "key_files": [f"run/{name}/links-1.key"],
        "operator_token_file": f"run/{name}/operators.tokens",
        "peers": [
            {
                "node_id": other[0],
                "availability_zone": other[1],
                "host": "127.0.0.1",
                "entry_links_port": other[2]["entry_links_port"],
                "control_links_port": other[2]["control_links_port"],
            }
            for other in nodes
            if other[0] != node_id
        ],
    }
    if is_voter:
        document["data_dir"] = f"{folder}/data"
        document["event_log"] = f"{folder}/events.jsonl"
    return document


def list_workers(user):
    """Returns racks and workers; each pool is spread over all zones."""
    pools = user["services"]
    counts = dict.fromkeys(user["zones"], 0)
    racks, workers = {}, []
    for number in range(WORKERS_PER_POOL):
        zone = user["zones"][number % len(user["zones"])]
        for pool in pools:
            rack = f"{zone}-r{counts[zone] // WORKERS_PER_RACK + 1}"
            counts[zone] += 1
            racks[rack] = {"id": rack, "zone": zone}
            workers.append(
                {
                    "id": f"{pool}-{number + 1}",
                    "zone": zone,
                    "rack": rack,
                    "processors": user["processors"],
                    "memory_mb": user["memory_gb"] * MB_PER_GB,
                    "pool": pool,
                }
            )
    return [racks[id] for id in sorted(racks)], workers


def make_fleet(user):
    """Returns the first patch of a user, which describes the whole fleet."""
    racks, workers = list_workers(user)
    total = len(workers)
    team = {
        "id": user["team"],
        "processors": total * user["processors"],
        "memory_mb": total * user["memory_gb"] * MB_PER_GB,
    }
    records = [
        ("region", [{"id": user["region"]}]),
        ("zone", [{"id": z, "region": user["region"]} for z in user["zones"]]),
        ("rack", racks),
        ("team", [team]),
        ("pool", [{"id": p, "team": team["id"]} for p in user["services"]]),
        ("worker", workers),
        ("service", [make_service(user, name) for name in user["services"]]),
        ("window", list_windows(user)),
    ]
    operations = [
        {"operation": f"add_{kind}", **record}
        for kind, items in records
        for record in items
    ]
    operations.append({"operation": "set_spare_pool", "pool": user["spare"]})
    operations.append({"operation": "set_weights", **user["weights"]})
    return {
        "reason": "first description of the fleet",
        "operations": operations,
    }


def make_service(user, name):
    """Returns the service of a pool; two of its six workers may be missing."""
    return {
        "id": name,
        "pool": name,
        "capacity_workers": 2 if name == user["spare"] else 4,
        "max_unavailable": 2,
        "slots_per_endpoint": 8,
        "connections_per_endpoint": 64,
        "default_deadline_ms": 5_000,
    }


def list_windows(user):
    """Returns a nightly maintenance window per zone, without overlaps."""
    return [
        {
            "id": f"{zone}-night",
            "zone": zone,
            "day": "daily",
            "start_minute": FIRST_WINDOW_MINUTE + index * WINDOW_MINUTES,
            "duration_minutes": WINDOW_MINUTES,
        }
        for index, zone in enumerate(user["zones"])
    ]


def list_files():
    """Returns a mapping of relative path to text for all example files."""
    files = {}
    for name, user in USERS.items():
        nodes = list_nodes(user)
        for node in nodes:
            text = dump(make_settings(name, node, nodes))
            files[f"{name}/{node[0]}.yaml"] = text
        files[f"{name}/fleet.yaml"] = dump(make_fleet(user))
    return files


def main(arguments):
    """Writes all files below the folder of the command line."""
    folder = pathlib.Path(arguments[0]) if arguments else ROOT / "examples"
    for path, text in list_files().items():
        target = folder / path
        target.parent.mkdir(parents=True, exist_ok=True)
        target.write_text(text)


if __name__ == "__main__":
    main(sys.argv[1:])
