"""The HTTP interface of the control program for operators."""

import urllib.parse

# Importing these modules registers their routes.
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
    """The parts of the control program that the routes use.

    Attributes:
        settings: Settings of the VM.
        clock: Time source.
        state_client: StateClient that proposes commands to the replicated
            state and reads it.
        publisher: Mailbox that takes StatusQuery.
        health: Mailbox that takes VmHealthQuery.
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
        tokens: OperatorTokens, or None, which refuses every operator.
        process_info: ProcessInfo for the routes that every process has.
    """

    __slots__ = ("control", "tokens", "process_info")

    def __init__(self, control, tokens, process_info):
        self.control = control
        self.tokens = tokens
        self.process_info = process_info

    async def __call__(self, scope, receive, send):
        """Handles one ASGI connection scope."""
        if scope["type"] == "lifespan":
            return await answer_lifespan(receive, send)
        if scope["type"] != "http":
            return None
        return await send_response(send, await self.handle(scope, receive))

    async def handle(self, scope, receive):
        """Returns the response to one request."""
        common_route = common_routes.entries.get(scope["path"])
        if common_route is not None and scope["method"] == "GET":
            return common_route(self.process_info)
        operator = self.authenticate(scope)
        if operator is None:
            return self.refuse_access(scope)
        route = find_route(scope["method"], scope["path"])
        if route is None:
            return respond_refused(404, [f"unknown path {scope['path']}"])
        if not callable(route):
            return respond_refused(
                405,
                [
                    f"method {scope['method']} is not allowed; "
                    f"use {' or '.join(route)}"
                ],
            )
        body = await read_body(receive, self.control.settings.max_patch_bytes)
        if body is None:
            return respond_refused(
                413, ["the body is too large or was cut short"]
            )
        request = OperatorRequest(
            operator, scope["method"], scope["path"], read_query(scope), body
        )
        response = await route(self.control, request)
        self.record_response(request, response)
        return response

    def authenticate(self, scope):
        """Returns the name of the operator, or None without a valid token."""
        values = [
            value
            for name, value in scope["headers"]
            if name == b"authorization"
        ]
        if len(values) != 1 or self.tokens is None:
            return None
        scheme, _, token = values[0].decode("latin-1").partition(" ")
        if scheme.lower() != BEARER:
            return None
        return self.tokens.find(token.strip())

    def refuse_access(self, scope):
        """Logs and counts a request without a valid token; returns a 401."""
        client = scope.get("client") or ("unknown",)
        logger.warning(
            "Access refused.",
            client=client[0],
            method=scope["method"],
            path=scope["path"],
        )
        self.process_info.metrics.count("operators_access_refused")
        return respond_json(
            401, {"outcome": "refused", "findings": [TOKEN_REQUIRED]}
        )

    def record_response(self, request, response):
        """Counts a response and logs requests that may change the state."""
        self.process_info.metrics.count(f"operators_status_{response.status}")
        if request.method != "GET":
            logger.info(
                "Request handled.",
                operator=request.operator,
                path=request.path,
                status=response.status,
            )


TOKEN_REQUIRED = "a valid bearer token is required"


def find_route(method, path):
    """Returns the route of a method and path.

    Returns:
        The function of the route, the list of allowed methods if the path
        has routes for other methods only, or None if the path is unknown.
    """
    route = operator_routes.entries.get((method, path))
    if route is not None:
        return route
    other_methods = sorted(
        registered_method
        for registered_method, registered_path in operator_routes.entries
        if registered_path == path
    )
    return other_methods or None


def read_query(scope):
    """Returns a dict of query parameter to its first value."""
    pairs = urllib.parse.parse_qsl(
        scope["query_string"].decode("latin-1"), keep_blank_values=True
    )
    query = {}
    for name, value in pairs:
        query.setdefault(name, value)
    return query
