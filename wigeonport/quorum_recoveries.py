"""Quorum recoveries: one voter goes on alone after a permanent quorum loss.

The surviving replica appends a member list that names only itself. Committed
entries that it never received are lost; entries that it received take effect
even if they were never committed.
"""

import pathlib

import trio
from expression import Error, Ok, Result

from wigeonport.codecs import codecs
from wigeonport.disk_identities import read_identity
from wigeonport.memberships import Member, Members
from wigeonport.probes import probe_peers
from wigeonport.recoveries import open_directory
from wigeonport.replica_events import HardState, Persist
from wigeonport.replica_logs import ReplicaLog
from wigeonport.replication_messages import DATA, MEMBERS, Entry, node_of
from wigeonport.snapshots import DamageError, FormatError, decode_state
from wigeonport.states import Entry as StateEntry
from wigeonport.states import ReplicatedState, state_from_document


class Survivor:
    """The surviving replica, read from its data directory.

    Attributes:
        replica_id: Id of the replica.
        term: Its current term.
        last_index: Last index of its log.
        version: Fleet version after all entries of its log.
        members: Members of the group according to its log.
        storage: OpenedStorage of the replica.
    """

    __slots__ = (
        "replica_id",
        "term",
        "last_index",
        "version",
        "members",
        "storage",
    )

    def __init__(self, storage):
        recovered = storage.recovered
        snapshot = recovered.snapshot
        log = ReplicaLog(
            snapshot.index if snapshot else 0,
            snapshot.term if snapshot else 0,
            snapshot.members if snapshot else Members(),
            recovered.entries,
        )
        self.replica_id = storage.replica_id
        self.term = recovered.hard_state.term
        self.last_index = log.last_index()
        self.version = read_state(recovered).fleet.fleet.version
        self.members = log.members()
        self.storage = storage

    def describe(self):
        """Returns what a recovery keeps and loses, as lines to print."""
        lost = [v for v in self.members.voters if v != self.replica_id]
        return [
            f"replica {self.replica_id} holds fleet version {self.version}",
            f"its log ends at index {self.last_index} in term {self.term}",
            "changes that only these voters hold are lost: " + ", ".join(lost),
            "never start those voters again with their old data",
        ]


def read_state(recovered):
    """Returns the ReplicatedState after all entries of a RecoveredState."""
    state = ReplicatedState()
    if recovered.snapshot:
        document = decode_state(recovered.snapshot.data)
        state = state_from_document(document).ok
    codec = codecs.get("thrift").ok()
    for entry in recovered.entries:
        command, time_ms = None, 0
        if entry.kind == DATA:
            logged_command = codec.decode(entry.payload).ok
            command, time_ms = (
                codec.decode(logged_command.command).ok,
                logged_command.time_ms,
            )
        state.apply(StateEntry(entry.index, time_ms, command))
    return state


def open_survivor(settings) -> Result:
    """Opens the data directory of a stopped control.

    Returns:
        Ok of a Survivor, or Error of the reason why there is none.
    """
    if settings.data_dir is None:
        return Error("the settings of this VM have no data_dir")
    directory = pathlib.Path(settings.data_dir)
    try:
        identity = read_identity(directory) if directory.is_dir() else None
        if identity is None:
            return Error(f"{directory} holds no replica")
        if (identity.cluster_id, identity.node) != (
            settings.cluster_id,
            settings.node_id,
        ):
            return Error(f"{directory} belongs to another node")
        storage = open_directory(
            directory,
            settings.cluster_id,
            settings.node_id,
            moves_damaged=False,
        )
    except (DamageError, FormatError) as error:
        return Error(f"{directory} is damaged: {error}")
    except OSError as error:
        return Error(f"{directory} cannot be opened: {error}")
    if storage.damage:
        return Error(f"{directory} is damaged: {storage.damage}")
    return Ok(Survivor(storage))


def find_objections(survivor, reports):
    """Returns the reasons why the survivor must not go on alone.

    Args:
        survivor: The Survivor.
        reports: ReplicaReports of the other controls that answered.

    Returns:
        A list of sentences, empty if there is no reason.
    """
    members = survivor.members
    if not members.is_voter(survivor.replica_id):
        return [f"{survivor.replica_id} is not a voter"]
    objections = [
        f"{report.replica_id} follows the leader {report.leader_id}"
        for report in reports
        if report.leader_id
    ]
    live_voters = {r.replica_id for r in reports} & set(members.voters)
    if len(live_voters) + 1 >= members.quorum():
        objections.append(
            f"{len(live_voters) + 1} of {len(members.voters)} voters live, "
            "which is a quorum; start this control"
        )
    objections += [
        f"{report.replica_id} holds a longer log (term {report.term}, index "
        f"{report.last_index}); recover on {node_of(report.replica_id)}"
        for report in reports
        if report.replica_id in members.voters
        and report.last_index > survivor.last_index
    ]
    return objections


def make_sole_voter(survivor):
    """Appends a member list that names only the survivor.

    The entry gets a new term for which the survivor has voted for itself.
    """
    term = survivor.term + 1
    sole_member = Members([Member(survivor.replica_id, True, True)])
    persist = Persist(1)
    persist.hard_state = HardState(term, survivor.replica_id)
    persist.entries = [
        Entry(survivor.last_index + 1, term, MEMBERS, sole_member.to_payload())
    ]
    survivor.storage.journal.write([persist])


def collect_reports(settings, keys):
    """Returns the ReplicaReports of the other controls that answer."""
    return trio.run(probe_peers, settings, keys)
