"""The one table of settings, with their defaults and meanings."""

from wigeonport.documents import REQUIRED, Field

PORT_RANGE = {"least": 1, "most": 65_535}
MAX_DURATION_MS = 24 * 3_600_000


def _port(name, default, text):
    return Field(name, "whole", default, text=text, **PORT_RANGE)


def _ms(name, default, text, least=1):
    return Field(name, "whole", default, least, MAX_DURATION_MS, text)


def _count(name, default, text, most=1_000_000):
    return Field(name, "whole", default, 1, most, text)


IDENTITY_FIELDS = (
    Field("node_id", "name", REQUIRED, text="Unique name of the VM."),
    Field("cluster_id", "name", REQUIRED, text="Name of the deployment."),
    Field("availability_zone", "name", REQUIRED, text="Zone of the VM."),
    Field("host", "text", "127.0.0.1", text="Address on which ports listen."),
)
PORT_FIELDS = (
    _port("callers_port", 8_080, "HTTP of callers; entry."),
    _port("announcements_port", 8_081, "HTTP of announcing endpoints; entry."),
    _port("entry_links_port", 8_082, "Links to the entry program."),
    _port(
        "entry_status_port",
        8_083,
        "HTTP of `/metrics`, `/events` and `/healthz`; entry.",
    ),
    _port("control_links_port", 8_084, "Links to the control program."),
    _port("operators_port", 8_085, "HTTP of operators; control."),
)
CLUSTER_FIELDS = (
    Field(
        "peers",
        "mappings",
        (),
        text="The other VMs, each with `node_id`, `availability_zone`, "
        "`host`, `entry_links_port` and `control_links_port`.",
    ),
    Field(
        "voters",
        "names",
        (),
        text="Node ids of the control programs that vote at the first "
        "start; 1, 3 or 5.",
    ),
    Field(
        "key_files",
        "texts",
        (),
        text="Files with the keys of the links. The first signs, all are "
        "accepted; the key id is the file name without its suffix.",
    ),
    Field(
        "operator_token_file",
        "text",
        None,
        text="File with the bearer tokens of operators, one line each: name "
        "and token. Without it operators are refused.",
    ),
    Field(
        "platform_url",
        "text",
        None,
        text="Address of the platform, such as `http://10.0.0.1:9000`.",
    ),
)
STORAGE_FIELDS = (
    Field(
        "data_dir",
        "text",
        None,
        text="Folder of the journal and snapshots; a control without it "
        "never votes.",
    ),
    Field(
        "event_log",
        "text",
        None,
        text="File of the event log; without it, a ring in memory.",
    ),
    _count("event_ring_bound", 10_000, "Events that the ring holds."),
    Field(
        "trace_file",
        "text",
        None,
        text="File to which a control records what reaches its planner; "
        "`wigeonport replay` reads it. Without it nothing is recorded.",
    ),
    _count(
        "trace_max_bytes",
        64 * 1024 * 1024,
        "Size at which the recording ends.",
        2**40,
    ),
    Field(
        "log_level",
        "name",
        "info",
        text="`debug`, `info`, `warning` or `error`.",
    ),
    _count("snapshot_entries", 10_000, "Entries between two snapshots."),
)
LIMIT_FIELDS = (
    _count("max_body_bytes", 1_048_576, "Largest body of a request.", 2**30),
    _count(
        "max_response_bytes",
        8 * 1024 * 1024,
        "Largest response of an endpoint.",
        2**30,
    ),
    _count(
        "max_patch_bytes",
        491_520,
        "Largest patch; it has to fit into one entry of the log.",
        500_000,
    ),
    _count(
        "max_requests_in_flight",
        1_024,
        "Requests of callers that an entry handles at a time.",
    ),
    _count(
        "max_held_bytes",
        64 * 1024 * 1024,
        "Bodies of requests that an entry holds together.",
        2**33,
    ),
    _ms("receive_timeout_ms", 10_000, "Longest wait for a request's body."),
    _count("queue_bound", 512, "Requests that wait for one service."),
    _count("mailbox_bound", 256, "Messages that wait for one task."),
    _ms("queue_wait_ms", 2_000, "Longest wait of a request for a slot."),
    _ms("max_deadline_ms", 60_000, "Longest deadline of a request."),
    _ms("connect_timeout_ms", 500, "Longest wait for a connection."),
    _ms(
        "attempt_timeout_ms",
        2_000,
        "Longest wait for the answer to a repeatable request over a used "
        "connection.",
    ),
    _ms("claim_timeout_ms", 1_000, "Longest wait for a claim."),
    _ms("propose_timeout_ms", 3_000, "Longest wait for a decision."),
    _ms(
        "shutdown_grace_ms",
        30_000,
        "Longest graceful shutdown; running requests get this time.",
    ),
    _ms(
        "stop_refuse_ms",
        500,
        "An entry that stops still accepts connections for this long and "
        "answers that nothing was run.",
    ),
    Field(
        "queue_discipline",
        "name",
        "adaptive",
        text="Order of waiting requests: `adaptive`, `fifo`, `lifo` or "
        "`deadline`.",
    ),
    Field(
        "share_policy",
        "name",
        "demand",
        text="Division of an endpoint's slots: `demand` or `even`.",
    ),
    Field(
        "retry_budget_share",
        "number",
        0.1,
        0,
        1,
        "Retries allowed, as a share of the requests.",
    ),
    Field(
        "retry_budget_floor",
        "whole",
        10,
        0,
        1_000_000,
        "Retries a second that are allowed besides the share.",
    ),
)
INTERVAL_FIELDS = (
    _ms(
        "endpoint_expiry_ms",
        2_500,
        "An endpoint without an announcement for this long is dropped.",
    ),
    _ms(
        "table_digest_ms",
        1_000,
        "Time between two digests of the endpoint table.",
    ),
    _ms("share_lease_ms", 2_000, "Length of a lease on an endpoint's slots."),
    _ms(
        "replication_heartbeat_ms",
        200,
        "Time between two messages of the leader to its followers.",
    ),
    _ms(
        "election_timeout_ms",
        1_000,
        "A voter that hears no leader for this long, and up to twice as "
        "long, starts an election.",
    ),
    _ms(
        "replace_voter_ms",
        60_000,
        "A voter that is silent for this long is replaced when a learner "
        "with a disk is ready.",
    ),
    _ms("plan_interval_ms", 1_000, "Time between two plans."),
    _ms("grant_lease_ms", 600_000, "Length of a maintenance grant."),
    _ms(
        "return_hold_ms",
        60_000,
        "A VM that is back counts as unavailable for this long.",
        least=0,
    ),
)
BATCH_FIELDS = (
    Field(
        "jobs_listen",
        "text",
        None,
        text="Address `host:port` of callers of batch jobs; entry.",
    ),
    Field(
        "readiness_listen",
        "text",
        None,
        text="Address `host:port` of the balancer's checks; entry.",
    ),
    Field(
        "workers_listen",
        "text",
        None,
        text="Address `host:port` of workers and operators of batch jobs; "
        "control.",
    ),
    Field(
        "machines_url",
        "text",
        None,
        text="Address at which machines are listed and ordered.",
    ),
    Field(
        "advice_url",
        "text",
        None,
        text="Address of the service that advises on workers.",
    ),
    Field(
        "voter_count",
        "whole",
        0,
        least=0,
        text="Voters to which the log grows as learners with a disk are "
        "ready; 0 for as many as `voters` names.",
    ),
    Field(
        "forms_cluster",
        "flag",
        True,
        text="Whether a control with an empty disk may form a new cluster.",
    ),
    _ms("max_hold_ms", 10_000, "Longest lease that a worker accepts."),
    _ms(
        "machine_lease_ms",
        3_000,
        "Pause between the orders of two leaders to one machine.",
    ),
    _ms(
        "drain_wait_ms",
        2_500,
        "An entry that stops takes requests for this long after it has told "
        "the balancer; two missed checks, 1 s apart, and a margin.",
    ),
    Field(
        "metrics_listen",
        "text",
        None,
        text="Address `host:port` of `/metrics` for batch roles.",
    ),
)
SETTING_GROUPS = (
    ("Identity", IDENTITY_FIELDS),
    ("Ports", PORT_FIELDS),
    ("Cluster", CLUSTER_FIELDS),
    ("Storage and logs", STORAGE_FIELDS),
    ("Limits", LIMIT_FIELDS),
    ("Intervals", INTERVAL_FIELDS),
    ("Batch jobs", BATCH_FIELDS),
)
SETTING_FIELDS = tuple(
    field for _, fields in SETTING_GROUPS for field in fields
)
PEER_FIELDS = (
    Field("node_id", "name", text="Unique name of the VM."),
    Field("availability_zone", "name", text="Its zone."),
    Field("host", "text", "127.0.0.1", text="Its address."),
    _port("entry_links_port", 8_082, "Links to its entry program."),
    _port("control_links_port", 8_084, "Links to its control program."),
)
