"""Settings, ports and relays of a small deployment on 127.0.0.1.

All files stand below one folder. Each port is free when it is allocated.
Links between zones pass through relays, so that a zone can be cut off
without tools that need root.
"""

import pathlib
import random
import secrets
import socket

from wigeonport.setting_tables import PORT_FIELDS
from wigeonport.yaml_documents import dump

HOST = "127.0.0.1"
ZONES = {"ikeja": 3, "lekki": 2, "yaba": 2}
VOTERS = {"ikeja": 2, "lekki": 2, "yaba": 1}
SERVICES = ("routedesk", "roster", "cortege", "crusade", "notices")
# Below the default range of the ephemeral ports of Linux.
FIRST_PORT, LAST_PORT = 20_000, 32_000
PORT_NAMES = tuple(field.name for field in PORT_FIELDS)
LINK_PORTS = ("entry_links_port", "control_links_port")


class Node:
    """One VM with its control and its entry.

    Attributes:
        node_id: Id of the VM.
        zone: Its availability zone.
        ports: Maps the name of a port setting to the port.
        is_voter: Whether its control is a voter of the replicated log.
    """

    __slots__ = ("node_id", "zone", "ports", "is_voter")

    def __init__(self, node_id, zone, ports, is_voter):
        self.node_id = node_id
        self.zone = zone
        self.ports = ports
        self.is_voter = is_voter

    def address(self, name):
        """Returns ``host:port`` of the port with this setting name."""
        return f"{HOST}:{self.ports[name]}"


class Relay:
    """A relay from the VMs of one zone to one port in another.

    Attributes:
        port: Port on which the relay listens.
        target_port: Port to which it connects.
        source_zone: Zone whose VMs connect to it.
        target_zone: Zone of the VM with the target port.
    """

    __slots__ = ("port", "target_port", "source_zone", "target_zone")

    def __init__(self, port, target_port, source_zone, target_zone):
        self.port = port
        self.target_port = target_port
        self.source_zone = source_zone
        self.target_zone = target_zone

    def to_argument(self):
        """Returns the argument of ``relays.py`` for this relay."""
        return (
            f"{self.port}:{self.target_port}"
            f":{self.source_zone}:{self.target_zone}"
        )


class PortAllocator:
    """Allocates free ports in ascending order."""

    __slots__ = ("next_port",)

    def __init__(self):
        # Random, so that deployments on one machine rarely get the same ports.
        self.next_port = random.SystemRandom().randrange(FIRST_PORT, LAST_PORT)

    def allocate(self):
        """Returns a port that can be bound at the time of the call."""
        while True:
            port = self.next_port
            self.next_port = port + 1 if port + 1 < LAST_PORT else FIRST_PORT
            with socket.socket() as probe:
                try:
                    probe.bind((HOST, port))
                except OSError:
                    continue
            return port


class Deployment:
    """VMs, relays and files of one deployment.

    Attributes:
        folder: Folder of all files.
        ports: PortAllocator.
        nodes: Maps node id to Node.
        relays: Maps source zone and target port to Relay.
        token: Bearer token of the operator ``demo``.
        platform_port: Port of the platform stand-in.
        overrides: Settings that replace those of every VM, by name.
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
        """Adds a VM with newly allocated ports."""
        ports = {name: self.ports.allocate() for name in PORT_NAMES}
        node = Node(f"{zone}-{number}", zone, ports, is_voter)
        self.nodes[node.node_id] = node

    def path(self, *parts):
        """Returns a path below the folder; creates its parent folder."""
        path = self.folder.joinpath(*parts)
        path.parent.mkdir(parents=True, exist_ok=True)
        return path

    def settings_path(self, node):
        """Returns the path of the settings file of a VM."""
        return self.path("settings", f"{node.node_id}.yaml")

    def write(self):
        """Writes the settings, the key of the links and the token file."""
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
                self.make_peer(node, other) for other in nodes if other != node
            ],
            **self.overrides,
        }
        if node.is_voter:
            folder = self.path(node.node_id, "data")
            document["data_dir"] = str(folder)
            document["event_log"] = str(self.path(node.node_id, "ev.jsonl"))
        return document

    def make_peer(self, node, other):
        """Returns the ``peers`` item by which a VM reaches another one."""
        ports = {
            name: self.port_from_zone(node.zone, other, name)
            for name in LINK_PORTS
        }
        return {
            "node_id": other.node_id,
            "availability_zone": other.zone,
            "host": HOST,
            **ports,
        }

    def port_from_zone(self, zone, other, name):
        """Returns the port by which VMs of a zone reach a port of a VM.

        Within the zone this is the port itself, otherwise that of a relay.
        """
        port = other.ports[name]
        if zone == other.zone:
            return port
        relay = self.relays.get((zone, port))
        if relay is None:
            relay = Relay(self.ports.allocate(), port, zone, other.zone)
            self.relays[(zone, port)] = relay
        return relay.port

    def entry_addresses(self, zone=None):
        """Returns the entries' addresses for callers, in a zone or in all."""
        return [
            node.address("callers_port")
            for node in self.nodes.values()
            if zone in (None, node.zone)
        ]

    def announcement_addresses(self, zone):
        """Returns the addresses to which endpoints of a zone announce."""
        return [
            node.address("announcements_port")
            for node in self.nodes.values()
            if node.zone == zone
        ]
