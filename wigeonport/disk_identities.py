"""Identity of a data directory.

A random identity is written when a directory is first used, and it is part
of the replica id. A replica whose directory is new, damaged or swapped
therefore never counts as the voter whose data it lacks.
"""

import secrets

from wigeonport.codecs import message_kinds
from wigeonport.durable_files import replace_file
from wigeonport.journal_records import codec, encode_record, read_body
from wigeonport.snapshots import DamageError, FormatError

FORMAT = 1
FILE_NAME = "identity"


@message_kinds.register("DiskIdentity")
class DiskIdentity:
    """Content of the identity file.

    Attributes:
        format: Version of the format of the identity file.
        cluster_id: Name of the deployment.
        node: Id of the node that the directory was created for.
        identity: Random hexadecimal digits.
    """

    __slots__ = ("format", "cluster_id", "node", "identity")

    def __init__(self, cluster_id, node, identity):
        self.format = FORMAT
        self.cluster_id = cluster_id
        self.node = node
        self.identity = identity

    def replica_id(self):
        """Returns the id of the replica that uses the directory."""
        return f"{self.node}/{self.identity}"


def create_identity(cluster_id, node):
    """Returns a new random DiskIdentity for a node."""
    return DiskIdentity(cluster_id, node, secrets.token_hex(8))


def write_identity(directory, identity):
    """Writes the identity file durably."""
    replace_file(directory / FILE_NAME, [encode_record(identity)])


def read_identity(directory):
    """Returns the DiskIdentity, or None if there is no identity file.

    Raises:
        DamageError: If the file is damaged.
        FormatError: If this version does not read its format.
    """
    path = directory / FILE_NAME
    if not path.exists():
        return None
    body = read_body(path.read_bytes(), 0)
    if body is None:
        raise DamageError("the identity file is damaged")
    decoded = codec.decode(body)
    if decoded.is_error() or decoded.ok.format != FORMAT:
        raise FormatError("the identity file has an unknown format")
    return decoded.ok
