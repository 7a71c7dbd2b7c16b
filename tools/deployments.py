"""Deployments: the settings of a small fleet on 127.0.0.1.

All files are written below one folder; the ports are free at the time of
the call. Links between zones lead through relays, so that a zone can be cut
off without tools that need root.
"""

import pathlib
import random
import secrets
import socket

from wigeonport.setting_tables import PORTS
from wigeonport.yaml_documents import dump

HOST = "127.0.0.1"
ZONES = {"ikeja": 3, "lekki": 2, "yaba": 2}
VOTERS = {"ikeja": 2, "lekki": 2, "yaba": 1}
SERVICES = ("routedesk", "roster", "cortege", "crusade", "notices")
# Below the range from which Linux takes the ports of outgoing connections.
FIRST_PORT, LAST_PORT = 20_000, 32_000
PORT_NAMES = tuple(field.name for field in PORTS)
LINK_PORTS = ("entry_links_port", "control_links_port")


class Node:
    """One VM of the system.

    Attributes:
        node_id: Its name.
        zone: Its availability zone.
        ports: Port by name of the setting.
        is_voter: Whether its control votes.
    """

    __slots__ = ("node_id", "zone", "ports", "is_voter")

    def __init__(self, node_id, zone, ports, is_voter):
        self.node_id = node_id
        self.zone = zone
        self.ports = ports
        self.is_voter = is_voter

    def address(self, name):
        """Returns ``host:port`` of one of its ports."""
        return f"{HOST}:{self.ports[name]}"


class Relay:
    """A relay from the VMs of one zone to one port in another.

    Attributes:
        port: Port on which it listens.
        target_port: Port to which it connects.
        source_zone: Zone whose VMs use it.
        target_zone: Zone of the target.
    """

    __slots__ = ("port", "target_port", "source_zone", "target_zone")

    def __init__(self, port, target_port, source_zone, target_zone):
        self.port = port
        self.target_port = target_port
        self.source_zone = source_zone
        self.target_zone = target_zone

    def to_argument(self):
        """Returns the argument of ``relays.py``."""
        return (
            f"{self.port}:{self.target_port}"
            f":{self.source_zone}:{self.target_zone}"
        )


class PortAllocator:
    """Hands out free ports, each once."""

    __slots__ = ("next",)

    def __init__(self):
        # Several deployments on one machine start in different places.
        self.next = random.SystemRandom().randrange(FIRST_PORT, LAST_PORT)

    def allocate(self):
        """Returns a port on which nobody listens."""
        while True:
            port = self.next
            self.next = port + 1 if port + 1 < LAST_PORT else FIRST_PORT
            with socket.socket() as probe:
                try:
                    probe.bind((HOST, port))
                except OSError:
                    continue
            return port


class Deployment:
    """The VMs, relays and files of one deployment.

    Attributes:
        folder: Folder of all files.
        ports: Source of free ports.
        nodes: Node by id.
        relays: All Relays.
        token: Bearer token of the operator ``demo``.
        platform_port: Port of the platform stand-in.
        overrides: Settings that differ from the defaults.
    """

    __slots__ = (
        "folder",
        "ports",
        "nodes",
        "relays",
        "token",
        "platform_port",
        "overrides",
    )

    def __init__(self, folder, zones=None, voters=None, overrides=None):
        self.folder = pathlib.Path(folder)
        self.ports = PortAllocator()
        self.nodes = {}
        self.relays = {}
        self.token = secrets.token_hex(16)
        self.platform_port = self.ports.allocate()
        self.overrides = overrides or {}
        voters = voters or VOTERS
        for zone, count in (zones or ZONES).items():
            for number in range(1, count + 1):
                self.add_node(zone, number, number <= voters[zone])

    def add_node(self, zone, number, is_voter):
        """Adds a VM with ports of its own."""
        ports = {name: self.ports.allocate() for name in PORT_NAMES}
        node = Node(f"{zone}-{number}", zone, ports, is_voter)
        self.nodes[node.node_id] = node

    def path(self, *parts):
        """Returns a path below the folder; its parent exists."""
        path = self.folder.joinpath(*parts)
        path.parent.mkdir(parents=True, exist_ok=True)
        return path

    def settings_path(self, node):
        """Returns the path of a VM's settings."""
        return self.path("settings", f"{node.node_id}.yaml")

    def write(self):
        """Writes the settings, the key and the operator's token."""
        self.path("links-1.key").write_text(secrets.token_hex(32) + "\n")
        self.path("operators.tokens").write_text(f"demo {self.token}\n")
        for node in self.nodes.values():
            document = self.make_settings(node)
            self.settings_path(node).write_text(dump(document))

    def make_settings(self, node):
        """Returns the settings document of a VM."""
        nodes = self.nodes.values()
        document = {
            "node_id": node.node_id,
            "cluster_id": "lagos",
            "availability_zone": node.zone,
            "host": HOST,
            **node.ports,
            "voters": [other.node_id for other in nodes if other.is_voter],
            "key_files": [str(self.path("links-1.key"))],
            "operator_token_file": str(self.path("operators.tokens")),
            "platform_url": f"http://{HOST}:{self.platform_port}",
            "peers": [
                self.peer_of(node, other) for other in nodes if other != node
            ],
            **self.overrides,
        }
        if node.is_voter:
            folder = self.path(node.node_id, "data")
            document["data_dir"] = str(folder)
            document["event_log"] = str(self.path(node.node_id, "ev.jsonl"))
        return document

    def peer_of(self, node, other):
        """Returns how a VM reaches another one."""
        ports = {
            name: self.relayed(node.zone, other, name) for name in LINK_PORTS
        }
        return {
            "node_id": other.node_id,
            "availability_zone": other.zone,
            "host": HOST,
            **ports,
        }

    def relayed(self, zone, other, name):
        """Returns the port by which a zone reaches a port of a VM."""
        port = other.ports[name]
        if zone == other.zone:
            return port
        relay = self.relays.get((zone, port))
        if relay is None:
            relay = Relay(self.ports.allocate(), port, zone, other.zone)
            self.relays[(zone, port)] = relay
        return relay.port

    def entries(self, zone=None):
        """Returns the addresses of the callers' ports."""
        return [
            node.address("callers_port")
            for node in self.nodes.values()
            if zone in (None, node.zone)
        ]

    def announcement_addresses(self, zone):
        """Returns where the endpoints of a zone announce themselves."""
        return [
            node.address("announcements_port")
            for node in self.nodes.values()
            if node.zone == zone
        ]
