"""Requests about batch jobs that entries send to the leader, and replies."""

from wigeonport.codecs import message_kinds
from wigeonport.records import Record

SUBMIT = "submit"
STATE = "state"
CANCEL = "cancel"
COUNT = "count"
# Only checks whether the control is the leader.
PROBE = "probe"

OK = "ok"
NO_QUEUE = "no-queue"
NO_JOB = "no-job"
NOT_LEADING = "not-leading"
INVALID = "invalid"
# The call has no key that the routing table in force knows.
UNAUTHORIZED = "unauthorized"
# The call has no effect now; the number says when to send it again.
REJECTED = "rejected"
# The job was cancelled before its submission arrived, and never runs.
GONE = "gone"
UNKNOWN = "unknown"


@message_kinds.register("BatchCall")
class BatchCall(Record):
    """A caller's request about batch jobs, as an entry forwards it.

    Attributes:
        verb: SUBMIT, STATE, CANCEL, COUNT or PROBE.
        host: Host name of the caller's HTTP request; selects the queue.
        path: Path of the caller's HTTP request; may end in the job id.
        spec_json: JobSpec as JSON for SUBMIT, otherwise "".
        request_id: Id that identifies the request in the logs.
        api_key: Key with which the caller authenticates, or None. It must
            not be logged.
    """

    __slots__ = (
        "verb",
        "host",
        "path",
        "spec_json",
        "request_id",
        "api_key",
    )

    def __init__(
        self, verb, host, path, spec_json="", request_id="", api_key=None
    ):
        self.verb = verb
        self.host = host
        self.path = path
        self.spec_json = spec_json
        self.request_id = request_id
        self.api_key = api_key

    def __repr__(self):
        """Returns the call as text, which does not contain the key."""
        shown = self.to_document()
        if self.api_key is not None:
            shown["api_key"] = "hidden"
        pairs = (f"{name}={value!r}" for name, value in shown.items())
        return f"BatchCall({', '.join(pairs)})"


@message_kinds.register("BatchReply")
class BatchReply(Record):
    """The reply of a control to a BatchCall.

    Attributes:
        outcome: OK, NO_QUEUE, NO_JOB, NOT_LEADING, INVALID, UNAUTHORIZED,
            REJECTED, GONE or UNKNOWN.
        detail: State of the job, or the reason of a refusal.
        number: For COUNT, the number of queued jobs; for REJECTED, the time
            in ms after which to send the call again.
        leader: Address of the leader, or "" if it is not known.
    """

    __slots__ = ("outcome", "detail", "number", "leader")

    def __init__(self, outcome, detail="", number=0, leader=""):
        self.outcome = outcome
        self.detail = detail
        self.number = number
        self.leader = leader
