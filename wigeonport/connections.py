"""Connections: those to endpoints that wait for their next request.

The dispatch task owns the idle connections. It hands a connection over to an
attempt, which owns it until it returns or closes it.
"""

import httpcore

KEEP_ALIVE_S = 15.0


class ConnectionReturned:
    """An attempt ended; its connection may be used again.

    Attributes:
        record: EndpointRecord of the attempt.
        connection: The connection, or None if it was closed.
        suspect: Whether the other connections to the endpoint may be dead.
    """

    __slots__ = ("record", "connection", "suspect")

    def __init__(self, record, connection, suspect):
        self.record = record
        self.connection = connection
        self.suspect = suspect


class IdleConnections:
    """Idle connections by endpoint, bounded together with those in use.

    Attributes:
        max_each: Connections that this entry may hold to one endpoint.
        idle: Lists of connections by endpoint id; the last was used last.
        in_use: Number of connections in use by endpoint id.
    """

    __slots__ = ("max_each", "idle", "in_use")

    def __init__(self, max_each):
        self.max_each = max_each
        self.idle = {}
        self.in_use = {}

    def take(self, record, fresh):
        """Returns a usable connection or None, and those to close.

        A connection that the endpoint closed is never handed out: bytes
        sent over it could not be told from a request that ran.
        """
        endpoint_id = record.endpoint_id
        self.in_use[endpoint_id] = self.in_use.get(endpoint_id, 0) + 1
        idle = self.idle.get(endpoint_id, [])
        closing = []
        while idle and not fresh:
            connection = idle.pop()
            if is_usable(connection, record):
                return connection, closing
            closing.append(connection)
        while idle and self.total(endpoint_id) > self.max_each:
            closing.append(idle.pop(0))
        return None, closing

    def give_back(self, returned):
        """Keeps a returned connection; returns those to close."""
        endpoint_id = returned.record.endpoint_id
        self.in_use[endpoint_id] -= 1
        if not self.in_use[endpoint_id]:
            del self.in_use[endpoint_id]
        closing = []
        if returned.suspect:
            closing += self.idle.pop(endpoint_id, [])
        connection = returned.connection
        if connection is None:
            return closing
        idle = self.idle.setdefault(endpoint_id, [])
        if self.total(endpoint_id) < self.max_each:
            idle.append(connection)
        else:
            closing.append(connection)
        return closing

    def sweep(self):
        """Returns the expired connections of all endpoints to close."""
        closing = []
        for endpoint_id, idle in list(self.idle.items()):
            kept = [c for c in idle if c.is_idle() and not c.has_expired()]
            closing += [c for c in idle if c not in kept]
            if kept:
                self.idle[endpoint_id] = kept
            else:
                del self.idle[endpoint_id]
        return closing

    def total(self, endpoint_id):
        """Returns the connections to one endpoint, idle and in use."""
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
    """Returns the origin of an endpoint."""
    return httpcore.Origin(b"http", record.host.encode(), record.port)


def open_connection(record):
    """Returns a new connection; it connects with its first request."""
    return httpcore.AsyncHTTPConnection(
        make_origin(record), keepalive_expiry=KEEP_ALIVE_S, retries=0
    )
