"""The operators' HTTP interface of the control program."""

import urllib.parse

# The modules of the routes register them when they are imported.
from wigeonport import maintenance_routes, status_routes
from wigeonport.logs import PartLogger
from wigeonport.operator_routes import (
    OperatorRequest,
    operator_routes,
    respond_refused,
)
from wigeonport.servers import (
    answer_lifespan,
    common_routes,
    read_body,
    respond_json,
    send_response,
)

logger = PartLogger("operators")

BEARER = "bearer"
ROUTE_MODULES = (maintenance_routes, status_routes)


class OperatorControl:
    """What the routes need of the control program.

    Attributes:
        settings: Settings of the VM.
        clock: Time source.
        state_client: StatePort of the task that owns the replicated state.
        publisher: Mailbox that answers StatusQuery.
        health: Mailbox that answers UnavailableQuery.
    """

    __slots__ = ("settings", "clock", "state_client", "publisher", "health")

    def __init__(self, settings, clock, state_client, publisher, health):
        self.settings = settings
        self.clock = clock
        self.state_client = state_client
        self.publisher = publisher
        self.health = health


class OperatorApp:
    """ASGI app for operators.

    Attributes:
        control: OperatorControl.
        tokens: OperatorTokens.
        info: ProcessInfo for the routes that every process has.
    """

    __slots__ = ("control", "tokens", "info")

    def __init__(self, control, tokens, info):
        self.control = control
        self.tokens = tokens
        self.info = info

    async def __call__(self, scope, receive, send):
        """Handles one ASGI connection scope."""
        if scope["type"] == "lifespan":
            return await answer_lifespan(receive, send)
        if scope["type"] != "http":
            return None
        return await send_response(send, await self.handle(scope, receive))

    async def handle(self, scope, receive):
        """Returns the response to one request."""
        common = common_routes.entries.get(scope["path"])
        if common is not None and scope["method"] == "GET":
            return common(self.info)
        operator = self.authenticate(scope)
        if operator is None:
            return self.refuse_access(scope)
        route = find_route(scope["method"], scope["path"])
        if route is None:
            return respond_refused(404, [f"no route {scope['path']}"])
        if not callable(route):
            return respond_refused(405, [f"use {' or '.join(route)}"])
        body = await read_body(receive, self.control.settings.max_patch_bytes)
        if body is None:
            return respond_refused(413, ["the body is too large or cut short"])
        request = OperatorRequest(
            operator, scope["method"], scope["path"], read_query(scope), body
        )
        response = await route(self.control, request)
        self.record(request, response)
        return response

    def authenticate(self, scope):
        """Returns the operator's name, or None."""
        values = [v for k, v in scope["headers"] if k == b"authorization"]
        if len(values) != 1 or self.tokens is None:
            return None
        scheme, _, token = values[0].decode("latin-1").partition(" ")
        if scheme.lower() != BEARER:
            return None
        return self.tokens.find(token.strip())

    def refuse_access(self, scope):
        """Logs and counts a refused access."""
        client = scope.get("client") or ("unknown",)
        logger.warning(
            "Access refused.",
            client=client[0],
            method=scope["method"],
            path=scope["path"],
        )
        self.info.metrics.count("operators_access_refused")
        return respond_json(401, {"outcome": "refused", "findings": [DENIED]})

    def record(self, request, response):
        """Counts a response and logs requests that may change something."""
        self.info.metrics.count(f"operators_status_{response.status}")
        if request.method != "GET":
            logger.info(
                "Request handled.",
                operator=request.operator,
                path=request.path,
                status=response.status,
            )


DENIED = "a valid bearer token is required"


def find_route(method, path):
    """Returns a route, the list of other methods, or None."""
    route = operator_routes.entries.get((method, path))
    if route is not None:
        return route
    others = sorted(m for m, p in operator_routes.entries if p == path)
    return others or None


def read_query(scope):
    """Returns the first value of every query parameter."""
    pairs = urllib.parse.parse_qsl(
        scope["query_string"].decode("latin-1"), keep_blank_values=True
    )
    query = {}
    for name, value in pairs:
        query.setdefault(name, value)
    return query
