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
MAX_HISTORY_LIMIT = 1_000
STATUS_BY_REFUSAL = {"stale": 409, "conflict": 409, "invalid": 422}


class OperatorRequest(Record):
    """An authenticated request of an operator.

    Attributes:
        operator: Name of the operator, from the token.
        method: HTTP method.
        path: Path without the query.
        query: Maps query parameter to its first value.
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
    """Returns a refusal that lists all findings."""
    document = {"outcome": "refused", "findings": list(findings), **fields}
    return respond_json(status, document)


def respond_undecided(decision):
    """Returns the response to a command without a committed answer.

    ``not-run`` is certain: nothing was or will be changed. ``unknown`` means
    that the command may still take effect; resending it is safe.

    Args:
        decision: Decision whose outcome is not ``COMMITTED``.
    """
    status = 504 if decision.outcome == UNKNOWN else 503
    document = {"outcome": decision.outcome, "reason": decision.reason}
    return respond_json(status, document)


async def read_state(control, query) -> Result:
    """Returns the StateRead of a query, or the 503 response of a failure."""
    result = await control.state_client.read(query)
    reason = "" if result.is_ok() else result.error
    if result.is_ok() and result.ok.document is None:
        reason = "the replicated state gave no answer to the query"
    if reason:
        document = {"outcome": "unavailable", "reason": reason}
        return Error(respond_json(503, document))
    return result


async def respond_read(control, query):
    """Returns the response to a query of the replicated state."""
    result = await read_state(control, query)
    if result.is_error():
        return result.error
    state_read = result.ok
    replica = {
        "role": state_read.role,
        "leader": state_read.leader,
        "term": state_read.term,
    }
    status = 200
    if state_read.document.get("outcome") == "refused":
        status = STATUS_BY_REFUSAL[state_read.document["why"]]
    return respond_json(status, {**state_read.document, "replica": replica})


def read_number(request, name, default, maximum):
    """Returns a whole number from the query parameters.

    Args:
        request: OperatorRequest.
        name: Name of the parameter.
        default: Value of an absent parameter.
        maximum: Larger numbers become this one.

    Returns:
        The number, or None if it is malformed.
    """
    text = request.query.get(name)
    if text is None:
        return default
    if not (text.isascii() and text.isdigit() and len(text) < 16):
        return None
    return min(int(text), maximum)


@operator_routes.register(("GET", "/v1/fleet"))
async def show_fleet(control, request):
    """Returns the fleet in the version in force."""
    return await respond_read(control, FleetQuery())


@operator_routes.register(("GET", "/v1/history"))
async def show_history(control, request):
    """Returns the newest versions, or one version with its changes."""
    limit = read_number(request, "limit", HISTORY_LIMIT, MAX_HISTORY_LIMIT)
    version = read_number(request, "version", -1, 2**53)
    if limit is None or version is None:
        return respond_refused(
            400,
            ["limit and version must be whole numbers of less than 16 digits"],
        )
    requested_version = None if version < 0 else version
    return await respond_read(control, HistoryQuery(limit, requested_version))


@operator_routes.register(("POST", "/v1/patches"))
async def submit_patch(control, request):
    """Submits a patch, or previews it with ``dry_run=1``."""
    parsed = parse_json(request.body)
    if parsed.is_error():
        return respond_refused(400, [parsed.error])
    document = parsed.ok
    if isinstance(document, dict):
        document = set_author(document, request.operator)
    patch = patch_from_document(document)
    if patch.is_error():
        return respond_refused(422, patch.error.lines(), why="invalid")
    text = json.dumps(patch.ok.to_document(), separators=(",", ":"))
    if request.query.get("dry_run") == "1":
        return await respond_read(control, PreviewQuery(text))
    decision = await control.state_client.propose(SubmitPatch(text))
    if decision.outcome != COMMITTED:
        return respond_undecided(decision)
    return respond_to_patch(decision.answer)


def set_author(document, operator):
    """Returns the patch document with the operator of the token as author.

    A patch file may name its author; if another operator submits it, the
    author names both.
    """
    author = document.get("author")
    if author is None or author == operator:
        return document | {"author": operator}
    return document | {"author": f"{author} (submitted by {operator})"}


def respond_to_patch(answer):
    """Returns the response to the replicated state's answer to a patch."""
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
