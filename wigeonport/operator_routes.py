"""Routes by which operators read the fleet and submit patches."""

import json

from expression import Error, Result

from wigeonport.fleet_states import parse_json
from wigeonport.patches import patch_from_document
from wigeonport.records import Record
from wigeonport.registries import Registry
from wigeonport.servers import respond_json
from wigeonport.state_answers import PatchAccepted, PatchRefused
from wigeonport.state_commands import SubmitPatch
from wigeonport.state_queries import FleetQuery, HistoryQuery, PreviewQuery
from wigeonport.state_requests import COMMITTED, UNKNOWN

operator_routes = Registry("operator route")

HISTORY_LIMIT = 50
LARGEST_HISTORY_LIMIT = 1_000
STATUS_BY_REFUSAL = {"stale": 409, "conflict": 409, "invalid": 422}


class OperatorRequest(Record):
    """An authenticated request of an operator.

    Attributes:
        operator: Name of the operator, from the token.
        method: HTTP method.
        path: Path without the query.
        query: First value by name.
        body: Bytes of the body.
    """

    __slots__ = ("operator", "method", "path", "query", "body")

    def __init__(self, operator, method, path, query, body):
        self.operator = operator
        self.method = method
        self.path = path
        self.query = query
        self.body = body


def respond_refused(status, findings, **fields):
    """Returns a refusal with all its findings."""
    document = {"outcome": "refused", "findings": list(findings), **fields}
    return respond_json(status, document)


def respond_undecided(decision):
    """Returns the response to a command without an answer.

    ``not-run`` is certain: nothing was or will be changed. ``unknown`` means
    that the command may still take effect; resending it is safe.
    """
    status = 504 if decision.outcome == UNKNOWN else 503
    document = {"outcome": decision.outcome, "reason": decision.reason}
    return respond_json(status, document)


async def read_state(control, query) -> Result:
    """Returns the StateRead of a query, or the response of a failure."""
    read = await control.state_client.read(query)
    reason = "" if read.is_ok() else read.error
    if read.is_ok() and read.ok.document is None:
        reason = "the replicated state does not answer"
    if reason:
        document = {"outcome": "unavailable", "reason": reason}
        return Error(respond_json(503, document))
    return read


async def respond_read(control, query):
    """Returns the response to a query of the replicated state."""
    read = await read_state(control, query)
    if read.is_error():
        return read.error
    found = read.ok
    replica = {
        "role": found.role,
        "leader": found.leader,
        "term": found.term,
    }
    status = 200
    if found.document.get("outcome") == "refused":
        status = STATUS_BY_REFUSAL[found.document["why"]]
    return respond_json(status, {**found.document, "replica": replica})


def read_number(request, name, default, most):
    """Returns a whole number from the query, or None if it is malformed."""
    text = request.query.get(name)
    if text is None:
        return default
    if not (text.isascii() and text.isdigit() and len(text) < 16):
        return None
    return min(int(text), most)


@operator_routes.register(("GET", "/v1/fleet"))
async def show_fleet(control, request):
    """Returns the version in force."""
    return await respond_read(control, FleetQuery())


@operator_routes.register(("GET", "/v1/history"))
async def show_history(control, request):
    """Returns the newest versions, or one with its changes."""
    limit = read_number(request, "limit", HISTORY_LIMIT, LARGEST_HISTORY_LIMIT)
    version = read_number(request, "version", -1, 2**53)
    if limit is None or version is None:
        return respond_refused(400, ["limit and version are whole numbers"])
    chosen = None if version < 0 else version
    return await respond_read(control, HistoryQuery(limit, chosen))


@operator_routes.register(("POST", "/v1/patches"))
async def submit_patch(control, request):
    """Submits a patch, or previews it with ``dry_run=1``."""
    parsed = parse_json(request.body)
    if parsed.is_error():
        return respond_refused(400, [parsed.error])
    document = parsed.ok
    if isinstance(document, dict):
        document = attribute(document, request.operator)
    read = patch_from_document(document)
    if read.is_error():
        return respond_refused(422, read.error.lines(), why="invalid")
    text = json.dumps(read.ok.to_document(), separators=(",", ":"))
    if request.query.get("dry_run") == "1":
        return await respond_read(control, PreviewQuery(text))
    decision = await control.state_client.propose(SubmitPatch(text))
    if decision.outcome != COMMITTED:
        return respond_undecided(decision)
    return respond_to_patch(decision.answer)


def attribute(document, operator):
    """Returns the patch document with an author that the token confirms.

    A file may name its author; if another operator submits it, the history
    shows both.
    """
    author = document.get("author")
    if author is None or author == operator:
        return document | {"author": operator}
    return document | {"author": f"{author} (submitted by {operator})"}


def respond_to_patch(answer):
    """Returns the response to the state machine's answer."""
    if isinstance(answer, PatchAccepted):
        document = {"outcome": "accepted", **answer.to_document()}
        return respond_json(200, document)
    if not isinstance(answer, PatchRefused):
        return respond_refused(422, [str(answer)])
    return respond_refused(
        STATUS_BY_REFUSAL[answer.why],
        answer.findings,
        why=answer.why,
        patch=answer.patch,
        version=answer.version,
        changes=json.loads(answer.changes_json),
        versions=json.loads(answer.versions_json),
        complete=answer.complete,
    )
