"""Settings of the entry and control programs, and their checks."""

from expression import Error, Ok, Result

from wigeonport.documents import Reporter, read_fields
from wigeonport.findings import Findings
from wigeonport.interference_pairs import is_pair, read_pairs
from wigeonport.queues import disciplines
from wigeonport.records import Record
from wigeonport.registries import Registry
from wigeonport.setting_tables import PEER_FIELDS, PORT_FIELDS, SETTING_FIELDS
from wigeonport.share_ledgers import share_policies

# Functions ``(settings, reporter)`` that check one settings file.
SETTINGS_CHECKS = Registry("settings check")
# Functions ``(settings_by_path, findings)`` that compare settings files.
CLUSTER_CHECKS = Registry("cluster settings check")
LOG_LEVELS = ("debug", "info", "warning", "error")


class Peer(Record):
    """Another VM of the cluster, as a settings file lists it.

    Attributes:
        node_id: Unique name of the VM.
        availability_zone: Zone of the VM.
        host: Address of the VM.
        entry_links_port: Port on which its entry program accepts links.
        control_links_port: Port on which its control program accepts links.
    """

    __slots__ = tuple(field.name for field in PEER_FIELDS)

    def __init__(
        self,
        node_id,
        availability_zone,
        host,
        entry_links_port,
        control_links_port,
    ):
        self.node_id = node_id
        self.availability_zone = availability_zone
        self.host = host
        self.entry_links_port = entry_links_port
        self.control_links_port = control_links_port


class Settings(Record):
    """Settings of one VM, with one attribute per field of the table.

    ``SETTING_FIELDS`` describes the attributes. Paths are relative to the
    working directory of the program.
    """

    __slots__ = tuple(field.name for field in SETTING_FIELDS)

    def __init__(self, values):
        for field in SETTING_FIELDS:
            setattr(self, field.name, values.get(field.name, field.default))

    def is_voter(self):
        """Returns whether this VM's control votes at the first start."""
        return self.node_id in self.voters

    def to_document(self):
        """Returns the settings as plain data, peers included."""
        document = super().to_document()
        document["peers"] = [peer.to_document() for peer in self.peers]
        return document


def load_settings(path) -> Result:
    """Reads a settings file; returns Settings or all Findings."""
    # Programs that get their settings in another format need no YAML, whose
    # library takes 18 ms of a start.
    from wigeonport.yaml_documents import load_file

    loaded = load_file(path)
    if loaded.is_error():
        return loaded
    return settings_from_document(loaded.ok.value, loaded.ok.source_map)


def settings_from_document(document, source_map=None) -> Result:
    """Checks a plain document; returns Settings or all Findings.

    Args:
        document: Plain data of a settings file.
        source_map: SourceMap of the file, or None.
    """
    reporter = Reporter(source_map)
    values = read_fields(SETTING_FIELDS, document, (), reporter)
    peer_documents = (
        document.get("peers") if isinstance(document, dict) else None
    )
    peers = _read_peers(peer_documents, reporter)
    if values is None or reporter.findings:
        return Error(reporter.findings)
    settings = Settings(values | {"peers": peers})
    for name in SETTINGS_CHECKS.names():
        SETTINGS_CHECKS.entries[name](settings, reporter)
    return reporter.findings.result(settings)


def _read_peers(documents, reporter):
    peers = []
    for index, document in enumerate(
        documents if isinstance(documents, list) else []
    ):
        path = ("peers", index)
        values = read_fields(PEER_FIELDS, document, path, reporter)
        if values is not None:
            peers.append(Peer(**values))
    return peers


def check_files(paths) -> Result:
    """Checks settings files, each alone and against the others.

    Returns:
        A dict of path to Settings, or all Findings.
    """
    findings = Findings()
    settings_by_path = {}
    for path in paths:
        loaded = load_settings(path)
        if loaded.is_ok():
            settings_by_path[str(path)] = loaded.ok
        else:
            findings.extend(loaded.error)
    for name in CLUSTER_CHECKS.names():
        CLUSTER_CHECKS.entries[name](settings_by_path, findings)
    return Error(findings) if findings else Ok(settings_by_path)


@SETTINGS_CHECKS.register("ports")
def check_ports(settings, reporter):
    """Reports a port that two settings use."""
    fields_by_port = {}
    for field in PORT_FIELDS:
        port = getattr(settings, field.name)
        if port in fields_by_port:
            text = f"port {port} is used by {fields_by_port[port]!r} too"
            reporter.add((field.name,), text)
        fields_by_port.setdefault(port, field.name)


@SETTINGS_CHECKS.register("peers")
def check_peers(settings, reporter):
    """Reports node ids and addresses that occur twice."""
    names = {settings.node_id: "this VM"}
    addresses = {}
    for index, peer in enumerate(settings.peers):
        path = ("peers", index)
        if peer.node_id in names:
            text = (
                f"{peer.node_id!r} is also the node id of "
                f"{names[peer.node_id]}"
            )
            reporter.add((*path, "node_id"), text)
        names.setdefault(peer.node_id, f"peers[{index}]")
        for key in ("entry_links_port", "control_links_port"):
            address = (peer.host, getattr(peer, key))
            if address in addresses:
                text = (
                    f"{address[0]}:{address[1]} is also the address of "
                    f"{addresses[address]}"
                )
                reporter.add((*path, key), text)
            addresses.setdefault(address, f"peers[{index}].{key}")


@SETTINGS_CHECKS.register("voters")
def check_voters(settings, reporter):
    """Reports unknown voters, a wrong number of them, and a missing disk."""
    node_ids = {peer.node_id for peer in settings.peers} | {settings.node_id}
    for index, voter in enumerate(settings.voters):
        if voter not in node_ids:
            text = f"{voter!r} is neither this VM nor a peer"
            reporter.add(("voters", index), text)
    if len(settings.voters) not in (1, 3, 5):
        text = f"name 1, 3 or 5 voters, not {len(settings.voters)}"
        reporter.add(("voters",), text)
    if settings.is_voter() and settings.data_dir is None:
        reporter.add(("data_dir",), "a voter needs a data_dir")


@SETTINGS_CHECKS.register("secrets")
def check_secrets(settings, reporter):
    """Reports missing key files and key ids that occur twice.

    Links are always authenticated, so at least one key is needed.
    """
    if not settings.key_files:
        reporter.add(("key_files",), "name at least one key file")
    key_ids = [key_id(path) for path in settings.key_files]
    for index, name in enumerate(key_ids):
        if name in key_ids[:index]:
            text = f"the key id {name!r} is used twice"
            reporter.add(("key_files", index), text)


@SETTINGS_CHECKS.register("election")
def check_election(settings, reporter):
    """Reports an election timeout below two heartbeat intervals.

    With such a timeout, one lost heartbeat would start an election.
    """
    if settings.election_timeout_ms < 2 * settings.replication_heartbeat_ms:
        text = "must be at least twice replication_heartbeat_ms"
        reporter.add(("election_timeout_ms",), text)


@SETTINGS_CHECKS.register("log_level")
def check_log_level(settings, reporter):
    """Reports an unknown log level."""
    if settings.log_level not in LOG_LEVELS:
        text = f"use one of {', '.join(LOG_LEVELS)}"
        reporter.add(("log_level",), text)


@SETTINGS_CHECKS.register("pairs")
def check_pairs(settings, reporter):
    """Reports pairs of kinds that are malformed or ruled both in and out."""
    for name in ("separated_pairs", "unseparated_pairs"):
        for index, text in enumerate(getattr(settings, name)):
            if not is_pair(text):
                problem = f"write 'KIND beside KIND', not {text!r}"
                reporter.add((name, index), problem)
    both = read_pairs(settings.separated_pairs) & read_pairs(
        settings.unseparated_pairs
    )
    for pair in sorted(" beside ".join(sorted(pair)) for pair in both):
        text = f"{pair!r} is in separated_pairs too"
        reporter.add(("unseparated_pairs",), text)


@SETTINGS_CHECKS.register("policies")
def check_policies(settings, reporter):
    """Reports policies that are not registered."""
    policies = (
        ("queue_discipline", disciplines),
        ("share_policy", share_policies),
    )
    for name, registry in policies:
        policy = registry.get(getattr(settings, name))
        if policy.is_error():
            reporter.add((name,), policy.error)


@CLUSTER_CHECKS.register("agreement")
def check_agreement(settings_by_path, findings):
    """Reports files of one cluster with the same node id or other voters."""
    first_path_by_cluster, paths_by_node = {}, {}
    for path, settings in settings_by_path.items():
        node = (settings.cluster_id, settings.node_id)
        if node in paths_by_node:
            text = (
                f"{settings.node_id!r} is also the node id in "
                f"{paths_by_node[node]}"
            )
            findings.add(f"{path}: node_id", text)
        paths_by_node.setdefault(node, path)
        first_path = first_path_by_cluster.setdefault(
            settings.cluster_id, path
        )
        if set(settings_by_path[first_path].voters) != set(settings.voters):
            findings.add(
                f"{path}: voters", f"differ from those in {first_path}"
            )


@CLUSTER_CHECKS.register("addresses")
def check_addresses(settings_by_path, findings):
    """Reports a peer that differs from the settings of that VM."""
    settings_by_node = {
        (s.cluster_id, s.node_id): s for s in settings_by_path.values()
    }
    keys = Peer.__slots__
    for path, settings in settings_by_path.items():
        for index, peer in enumerate(settings.peers):
            peer_settings = settings_by_node.get(
                (settings.cluster_id, peer.node_id)
            )
            for key in keys if peer_settings is not None else ():
                listed, actual = (
                    getattr(peer, key),
                    getattr(peer_settings, key),
                )
                if listed != actual:
                    findings.add(
                        f"{path}: peers[{index}].{key}",
                        f"is {listed}, but {peer.node_id!r} has {actual}",
                    )


def key_id(path):
    """Returns the key id of a key file: its name without the suffix."""
    name = path.replace("\\", "/").rsplit("/", 1)[-1]
    return name.rsplit(".", 1)[0] if "." in name[1:] else name
