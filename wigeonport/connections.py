"""Connections: the pool of idle connections to endpoints.

The dispatch task owns the idle connections. It hands a connection to an
attempt, which owns it until it returns or closes it.
"""

import httpcore

KEEP_ALIVE_S = 15.0


class ConnectionReturned:
    """An attempt ended and returns its connection.

    Attributes:
        record: EndpointRecord of the attempt.
        connection: The connection to reuse, or None if it was closed.
        others_suspect: Whether the other idle connections to the endpoint
            may be dead, and have to be closed.
    """

    __slots__ = ("record", "connection", "others_suspect")

    def __init__(self, record, connection, others_suspect):
        self.record = record
        self.connection = connection
        self.others_suspect = others_suspect


class IdleConnections:
    """Idle connections by endpoint, with a limit for each endpoint.

    Attributes:
        max_per_endpoint: Largest number of connections to one endpoint, idle
            and in use together.
        idle: Maps endpoint id to its idle connections, the most recently
            used one last.
        in_use: Maps endpoint id to its number of connections in use.
    """

    __slots__ = ("max_per_endpoint", "idle", "in_use")

    def __init__(self, max_per_endpoint):
        self.max_per_endpoint = max_per_endpoint
        self.idle = {}
        self.in_use = {}

    def take(self, record, new_only):
        """Returns an idle connection or None, and a list of those to close.

        A connection that the endpoint has closed is never handed out: a
        request sent over it could not be told from one that ran.

        Args:
            record: EndpointRecord of the endpoint.
            new_only: Whether only a new connection will do, so that None is
                returned. The new one counts towards the limit; the oldest
                idle ones are closed if it is exceeded.
        """
        endpoint_id = record.endpoint_id
        self.in_use[endpoint_id] = self.in_use.get(endpoint_id, 0) + 1
        idle = self.idle.get(endpoint_id, [])
        closing = []
        while idle and not new_only:
            connection = idle.pop()
            if is_usable(connection, record):
                return connection, closing
            closing.append(connection)
        while (
            idle
            and self.count_connections(endpoint_id) > self.max_per_endpoint
        ):
            closing.append(idle.pop(0))
        return None, closing

    def put_back(self, returned):
        """Keeps a returned connection if possible; returns those to close."""
        endpoint_id = returned.record.endpoint_id
        self.in_use[endpoint_id] -= 1
        if not self.in_use[endpoint_id]:
            del self.in_use[endpoint_id]
        closing = []
        if returned.others_suspect:
            closing += self.idle.pop(endpoint_id, [])
        connection = returned.connection
        if connection is None:
            return closing
        idle = self.idle.setdefault(endpoint_id, [])
        if self.count_connections(endpoint_id) < self.max_per_endpoint:
            idle.append(connection)
        else:
            closing.append(connection)
        return closing

    def remove_expired(self):
        """Removes expired connections of all endpoints; returns them."""
        closing = []
        for endpoint_id, idle in list(self.idle.items()):
            remaining = [
                c for c in idle if c.is_idle() and not c.has_expired()
            ]
            closing += [c for c in idle if c not in remaining]
            if remaining:
                self.idle[endpoint_id] = remaining
            else:
                del self.idle[endpoint_id]
        return closing

    def count_connections(self, endpoint_id):
        """Returns the number of connections, idle and in use together."""
        idle = self.idle.get(endpoint_id, ())
        return len(idle) + self.in_use.get(endpoint_id, 0)


def is_usable(connection, record):
    """Returns whether a connection may carry another request."""
    return (
        connection.can_handle_request(make_origin(record))
        and connection.is_idle()
        and not connection.has_expired()
    )


def make_origin(record):
    """Returns the HTTP origin (scheme, host and port) of an endpoint."""
    return httpcore.Origin(b"http", record.host.encode(), record.port)


def open_connection(record):
    """Returns a new connection, which connects with its first request."""
    return httpcore.AsyncHTTPConnection(
        make_origin(record), keepalive_expiry=KEEP_ALIVE_S, retries=0
    )
