"""Tables of all settings, with their kinds, defaults and descriptions."""

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
    Field(
        "availability_zone",
        "name",
        REQUIRED,
        text="Availability zone of the VM.",
    ),
    Field(
        "host",
        "text",
        "127.0.0.1",
        text="Address on which the programs listen.",
    ),
)
PORT_FIELDS = (
    _port("callers_port", 8_080, "HTTP port of the entry for callers."),
    _port(
        "announcements_port",
        8_081,
        "HTTP port of the entry for announcements of endpoints.",
    ),
    _port("entry_links_port", 8_082, "Port on which the entry accepts links."),
    _port(
        "entry_status_port",
        8_083,
        "HTTP port of the entry for `/metrics`, `/events` and `/healthz`.",
    ),
    _port(
        "control_links_port", 8_084, "Port on which the control accepts links."
    ),
    _port("operators_port", 8_085, "HTTP port of the control for operators."),
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
        text="Files with the keys of the links. The first key signs, all are "
        "accepted; the key id is the file name without its suffix.",
    ),
    Field(
        "operator_token_file",
        "text",
        None,
        text="File with the bearer tokens of operators, one line each: name "
        "and token. Without the file all operators are refused.",
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
        text="Folder of the journal and snapshots. A control without it "
        "never votes.",
    ),
    Field(
        "event_log",
        "text",
        None,
        text="File of the event log. Without it only the latest events are "
        "kept, in memory.",
    ),
    _count("event_ring_bound", 10_000, "Events that are kept in memory."),
    Field(
        "trace_file",
        "text",
        None,
        text="File to which a control records the inputs of its planner; "
        "`wigeonport replay` reads it. Without it nothing is recorded.",
    ),
    _count(
        "trace_max_bytes",
        64 * 1024 * 1024,
        "Size of the trace file at which the recording ends.",
        2**40,
    ),
    Field(
        "log_level",
        "name",
        "info",
        text="`debug`, `info`, `warning` or `error`.",
    ),
    _count("snapshot_entries", 10_000, "Log entries between two snapshots."),
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
        "Requests of callers that an entry handles at the same time.",
    ),
    _count(
        "max_held_bytes",
        64 * 1024 * 1024,
        "Total size of the request bodies that an entry holds.",
        2**33,
    ),
    _ms("receive_timeout_ms", 10_000, "Longest wait for a request's body."),
    _count("queue_bound", 512, "Largest queue of requests for one service."),
    _count("mailbox_bound", 256, "Largest queue of messages for one task."),
    _ms("queue_wait_ms", 2_000, "Longest wait of a request for a slot."),
    _ms("max_deadline_ms", 60_000, "Longest deadline of a request."),
    _ms(
        "connect_timeout_ms",
        500,
        "Longest wait for a connection to an endpoint.",
    ),
    _ms(
        "attempt_timeout_ms",
        2_000,
        "Longest wait for the answer to a repeatable request over a reused "
        "connection, which may be dead.",
    ),
    _ms(
        "claim_timeout_ms",
        1_000,
        "Longest wait for the claim of an idempotency key.",
    ),
    _ms(
        "propose_timeout_ms",
        3_000,
        "Longest wait until a proposed command is committed.",
    ),
    _ms(
        "shutdown_grace_ms",
        30_000,
        "Longest graceful shutdown, in which running requests may finish.",
    ),
    _ms(
        "stop_refuse_ms",
        500,
        "For this long an entry that stops still accepts connections, and "
        "answers that the request was not run.",
    ),
    Field(
        "queue_discipline",
        "name",
        "adaptive",
        text="Order of the waiting requests: `adaptive`, `fifo`, `lifo` or "
        "`deadline`.",
    ),
    Field(
        "share_policy",
        "name",
        "demand",
        text="Division of an endpoint's slots between entries: `demand` or "
        "`even`.",
    ),
    Field(
        "retry_budget_share",
        "number",
        0.1,
        0,
        1,
        "Allowed retries as a share of the requests.",
    ),
    Field(
        "retry_budget_floor",
        "whole",
        10,
        0,
        1_000_000,
        "Retries per second that are allowed in addition to the share.",
    ),
)
INTERVAL_FIELDS = (
    _ms(
        "endpoint_expiry_ms",
        2_500,
        "An endpoint that sends no announcement for this long is removed.",
    ),
    _ms(
        "table_digest_ms",
        1_000,
        "Interval of the digests of the endpoint table.",
    ),
    _ms("share_lease_ms", 2_000, "Duration of a lease on slots of endpoints."),
    _ms(
        "replication_heartbeat_ms",
        200,
        "Interval of the leader's messages to its followers.",
    ),
    _ms(
        "election_timeout_ms",
        1_000,
        "A voter starts an election when it gets no message of the leader "
        "for this long, and up to twice as long.",
    ),
    _ms(
        "replace_voter_ms",
        60_000,
        "A voter that does not answer for this long is replaced once a "
        "learner with a disk is ready.",
    ),
    _ms("plan_interval_ms", 1_000, "Time between two runs of the planner."),
    _ms(
        "grant_lease_ms",
        600_000,
        "Duration of the lease of a maintenance grant.",
    ),
    _ms(
        "return_hold_ms",
        60_000,
        "Time after its return in which a VM still counts as unavailable.",
        least=0,
    ),
)
BATCH_FIELDS = (
    Field(
        "jobs_listen",
        "text",
        None,
        text="Address `host:port` of the entry for callers of batch jobs.",
    ),
    Field(
        "readiness_listen",
        "text",
        None,
        text="Address `host:port` of the entry for the checks of the load "
        "balancer.",
    ),
    Field(
        "workers_listen",
        "text",
        None,
        text="Address `host:port` of the control for workers and operators of "
        "batch jobs.",
    ),
    Field(
        "machines_url",
        "text",
        None,
        text="URL of the service that lists machines and takes orders for "
        "them.",
    ),
    Field(
        "advice_url",
        "text",
        None,
        text="URL of the service that advises on the choice of workers.",
    ),
    Field(
        "voter_count",
        "whole",
        0,
        least=0,
        text="Number of voters up to which learners with a disk become "
        "voters; 0 for the number of `voters`.",
    ),
    Field(
        "forms_cluster",
        "flag",
        True,
        text="Whether a control with an empty disk may form a new cluster.",
    ),
    _ms("max_hold_ms", 10_000, "Longest lease on runs that a worker accepts."),
    _ms(
        "machine_lease_ms",
        3_000,
        "Time between the orders of two successive leaders to the same "
        "machine.",
    ),
    _ms(
        "drain_wait_ms",
        2_500,
        "An entry that stops still takes requests for this long after it "
        "has told the load balancer; covers two failed checks, 1 s apart, "
        "and a margin.",
    ),
    Field(
        "metrics_listen",
        "text",
        None,
        text="Address `host:port` of `/metrics` for batch roles.",
    ),
    Field(
        "separate_interfering_tasks",
        "flag",
        False,
        text="Whether the leader learns which kinds of task slow each other "
        "down on one worker, and keeps them apart where there is room.",
    ),
    Field(
        "separated_pairs",
        "texts",
        [],
        text="Kinds that are kept apart whatever is learned, each as "
        "`KIND beside KIND`; only with `separate_interfering_tasks`.",
    ),
    Field(
        "unseparated_pairs",
        "texts",
        [],
        text="Kinds that are never kept apart, each as `KIND beside KIND`.",
    ),
)
CLIENT_FIELDS = (
    Field(
        "memory_mb",
        "whole",
        0,
        least=0,
        text="Memory of the machine in MB, from which the limits of what is "
        "held for clients and jobs follow; 0 for the memory of the system.",
    ),
    Field(
        "max_descriptors",
        "whole",
        0,
        least=0,
        text="Descriptors that the process may open; 0 for the limit that the "
        "system sets.",
    ),
    Field(
        "max_client_bytes",
        "whole",
        0,
        least=0,
        text="Bytes of requests and answers that the process holds for its "
        "clients; 0 for a quarter of `memory_mb` beyond 64 MB, at least "
        "9 MiB.",
    ),
    Field(
        "max_client_connections",
        "whole",
        0,
        least=0,
        text="Open connections of clients; 0 for what `memory_mb` and "
        "`max_descriptors` allow.",
    ),
    Field(
        "max_job_bytes",
        "whole",
        0,
        least=0,
        text="Bytes of memory that accepted jobs may take at a control; 0 "
        "for an eighth of `memory_mb` beyond 64 MB, at least 12 MiB. All "
        "controls need the same value.",
    ),
    _ms(
        "body_stall_ms",
        30_000,
        "A request of which less than 4 KiB arrive in this time is ended.",
    ),
    _ms(
        "answer_stall_ms",
        30_000,
        "An answer of which nothing is taken in this time is given up.",
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
    ("Clients", CLIENT_FIELDS),
)
SETTING_FIELDS = tuple(
    field for _, fields in SETTING_GROUPS for field in fields
)
PEER_FIELDS = (
    Field("node_id", "name", text="Unique name of the VM."),
    Field("availability_zone", "name", text="Availability zone of the VM."),
    Field("host", "text", "127.0.0.1", text="Address of the VM."),
    _port("entry_links_port", 8_082, "Port on which its entry accepts links."),
    _port(
        "control_links_port", 8_084, "Port on which its control accepts links."
    ),
)
