"""The routing table: queues of jobs, services, and limits for callers.

An operator submits complete tables, each with a version number. The table
with the highest version is in force.
"""

import json
import zlib

from wigeonport.batch_commands import OPERATIONS, AdoptRoutes
from wigeonport.records import Record
from wigeonport.tenants import Tenant, TenantTable

# Maximum number of former paths that are kept, for hundreds of configurations
# that move the prefix of a queue with lasting jobs.
MAX_FORMER_PATHS = 1_024


# Fields that queues stored by earlier releases do not have.
QUEUE_DEFAULTS = {"public": False}


class Queue(Record):
    """A queue of jobs that callers address by host and path prefix.

    Attributes:
        name: Unique name.
        host: Host name in the requests of callers.
        path_prefix: Prefix of the request paths of the queue.
        service: Name of the service whose workers run the jobs.
        timeout_ms: Maximum time until a caller gets a response.
        target_latency_ms: Latency objective, on top of the run time.
        priority: Priority of the queue; 0 is the highest.
        attempts: Number of failed runs of a task after which its job fails.
        stretch: Factor by which the objective multiplies the estimated run
            time of the longest chain of dependent steps.
        advice: AdviceTerms, or None if any worker may run the jobs.
        public: Whether callers need no key, even if there are tenants.
    """

    __slots__ = (
        "name",
        "host",
        "path_prefix",
        "service",
        "timeout_ms",
        "target_latency_ms",
        "priority",
        "attempts",
        "stretch",
        "advice",
        "public",
    )

    def __init__(self, values):
        values = QUEUE_DEFAULTS | values
        for name in self.__slots__:
            setattr(self, name, values[name])
        if isinstance(self.advice, dict):
            self.advice = AdviceTerms(**self.advice)

    def to_document(self):
        """Returns the queue as a JSON-compatible dict."""
        document = super().to_document()
        if self.advice is not None:
            document["advice"] = self.advice.to_document()
        return document


class AdviceTerms(Record):
    """Cost and validity of advice on which workers may run a queue's jobs.

    Attributes:
        decision_ms: Base duration of a call to the advice service.
        per_worker_ms: Additional duration for each worker in the call.
        valid_ms: Validity of a ticket, the permission that the advice
            service issues for a worker.
    """

    __slots__ = ("decision_ms", "per_worker_ms", "valid_ms")

    def __init__(self, decision_ms, per_worker_ms, valid_ms):
        self.decision_ms = decision_ms
        self.per_worker_ms = per_worker_ms
        self.valid_ms = valid_ms

    def duration_ms(self, workers):
        """Returns the duration of a call that names this many workers."""
        return self.decision_ms + self.per_worker_ms * workers


class RoutedService(Record):
    """A service and the pool of machines with the same name.

    Attributes:
        name: Unique name.
        guards_capacity: Whether its workers reject tasks that exceed their
            capacity.
        standby: Whether the machines of its pool are switched off.
        health_path: Path at which an endpoint answers health probes.
    """

    __slots__ = ("name", "guards_capacity", "standby", "health_path")

    def __init__(self, name, guards_capacity, standby, health_path):
        self.name = name
        self.guards_capacity = guards_capacity
        self.standby = standby
        self.health_path = health_path


class QueueLimits(Record):
    """Limits on the requests of callers.

    Attributes:
        max_header_bytes: Maximum size of the request line and headers.
        max_body_bytes: Maximum size of a request body.
        header_timeout_ms: Maximum time to receive the headers.
        idle_timeout_ms: Maximum time that a connection may stay idle
            between requests.
    """

    __slots__ = (
        "max_header_bytes",
        "max_body_bytes",
        "header_timeout_ms",
        "idle_timeout_ms",
    )

    def __init__(
        self,
        max_header_bytes,
        max_body_bytes,
        header_timeout_ms,
        idle_timeout_ms,
    ):
        self.max_header_bytes = max_header_bytes
        self.max_body_bytes = max_body_bytes
        self.header_timeout_ms = header_timeout_ms
        self.idle_timeout_ms = idle_timeout_ms


class RouteTable:
    """One version of the routing table.

    Attributes:
        version: Version number; 0 until an operator has submitted a table.
        queues: Maps name to Queue.
        services: Maps name to RoutedService.
        limits: QueueLimits, or None.
        source: Text that the operator submitted, returned when the table
            is read.
        tenants: TenantTable, or None if callers need no key.
        by_host: Maps host to its Queues, longest path prefix first.
    """

    __slots__ = (
        "version",
        "queues",
        "services",
        "limits",
        "source",
        "tenants",
        "by_host",
    )

    def __init__(
        self,
        version=0,
        queues=(),
        services=(),
        limits=None,
        source="",
        tenants=None,
    ):
        self.version = version
        self.queues = {queue.name: queue for queue in queues}
        self.services = {service.name: service for service in services}
        self.limits = limits
        self.source = source
        self.tenants = tenants
        self.by_host = {}
        for queue in queues:
            self.by_host.setdefault(queue.host, []).append(queue)
        for host_queues in self.by_host.values():
            host_queues.sort(key=lambda queue: -len(queue.path_prefix))

    def resolve(self, host, path):
        """Returns the queue with the longest matching prefix, or None."""
        for queue in self.by_host.get(host, ()):
            if path.startswith(queue.path_prefix):
                return queue
        return None

    def split(self, host, path):
        """Returns the queue of a path, or None, and the rest of the path."""
        queue = self.resolve(host, path)
        if queue is None:
            return None, path
        return queue, path[len(queue.path_prefix) :]

    def paths(self):
        """Returns triples of host, path prefix and name, as keys of a dict."""
        queues = self.queues.values()
        return dict.fromkeys(
            (queue.host, queue.path_prefix, queue.name) for queue in queues
        )

    def standby_services(self):
        """Returns the names of the services whose machines are on standby."""
        return [s.name for s in self.services.values() if s.standby]

    def to_document(self):
        """Returns the table as a JSON-compatible dict."""
        return {
            "version": self.version,
            "queues": [queue.to_document() for queue in self.queues.values()],
            "services": [
                service.to_document() for service in self.services.values()
            ],
            "limits": self.limits.to_document() if self.limits else None,
            "source": self.source,
            "tenants": (
                None if self.tenants is None else self.tenants.to_rows()
            ),
        }

    def to_bytes(self):
        """Returns the document as compressed JSON."""
        text = json.dumps(self.to_document(), separators=(",", ":"))
        return zlib.compress(text.encode())


def route_table_from_document(document):
    """Rebuilds a RouteTable from ``RouteTable.to_document``."""
    limits = document["limits"]
    # Earlier releases stored no tenants.
    rows = document.get("tenants")
    tenants = None if rows is None else read_tenant_rows(rows)
    return RouteTable(
        document["version"],
        [Queue(values) for values in document["queues"]],
        [RoutedService(**values) for values in document["services"]],
        QueueLimits(**limits) if limits else None,
        document["source"],
        tenants,
    )


def read_tenant_rows(rows):
    """Rebuilds a TenantTable from ``TenantTable.to_rows``."""
    return TenantTable([Tenant(**row) for row in rows])


class RouteState:
    """The routing table in force, and what earlier tables said of jobs.

    Attributes:
        table: RouteTable in force.
        former_queues: Maps name to the last Queue of that name, for queues
            that are no longer in the table. Their accepted jobs are still
            completed.
        former_paths: Pairs of host and path prefix with the name of the queue
            that they selected, for queues with jobs and paths that they do
            not select any more; the keys of a dict, oldest first.
    """

    __slots__ = ("table", "former_queues", "former_paths")

    def __init__(self):
        self.table = RouteTable()
        self.former_queues = {}
        self.former_paths = {}

    @property
    def queues(self):
        """Maps name to Queue, for the queues of the table in force."""
        return self.table.queues

    def queue_of(self, name):
        """Returns the queue, including a removed one with jobs, or None."""
        return self.table.queues.get(name) or self.former_queues.get(name)

    def former_names(self, host, path_prefix):
        """Returns the names of the queues that a path selected before."""
        return {
            name
            for former_host, former_prefix, name in self.former_paths
            if (former_host, former_prefix) == (host, path_prefix)
        }

    def names_service(self, name):
        """Returns whether workers of a service are in use.

        The jobs of a removed queue still need the workers of its service.
        """
        return name in self.table.services or any(
            queue.service == name for queue in self.former_queues.values()
        )

    def adopt(self, table, in_use=()):
        """Replaces the table in force.

        Args:
            table: RouteTable of a higher version.
            in_use: Names of the queues that have jobs; if removed from the
                table, they are kept in ``former_queues``, and paths that no
                longer select them in ``former_paths``.
        """
        all_queues = self.former_queues | self.table.queues
        self.former_queues = {
            name: queue
            for name, queue in all_queues.items()
            if name in in_use and name not in table.queues
        }
        all_paths = self.former_paths | self.table.paths()
        current_paths = table.paths()
        former_paths = [
            path
            for path in all_paths
            if path[-1] in in_use and path not in current_paths
        ]
        self.former_paths = dict.fromkeys(former_paths[-MAX_FORMER_PATHS:])
        self.table = table

    def copy(self):
        """Returns a copy that shares the table and queues.

        Nothing changes them: a new version brings new ones.
        """
        copied = RouteState()
        copied.table = self.table
        copied.former_queues = dict(self.former_queues)
        copied.former_paths = dict(self.former_paths)
        return copied

    def to_document(self):
        """Returns the state as a JSON-compatible dict."""
        return {
            "table": self.table.to_document(),
            "former_queues": [
                queue.to_document() for queue in self.former_queues.values()
            ],
            "former_paths": [list(path) for path in self.former_paths],
        }


def route_state_from_document(document):
    """Rebuilds a RouteState from ``RouteState.to_document``."""
    state = RouteState()
    state.table = route_table_from_document(document["table"])
    state.former_queues = {
        values["name"]: Queue(values) for values in document["former_queues"]
    }
    paths = document.get("former_paths")
    if paths is None:
        # Earlier releases stored the removed queues only.
        queues = state.former_queues.values()
        paths = [(each.host, each.path_prefix, each.name) for each in queues]
    state.former_paths = dict.fromkeys(map(tuple, paths))
    return state


@OPERATIONS.register(AdoptRoutes)
def adopt_routes(state, operation, now_ms):
    """Adopts a table if its version is higher than the one in force."""
    if operation.version > state.routes.table.version:
        document = json.loads(zlib.decompress(operation.document))
        in_use = {job.queue for job in state.batch.jobs.values()}
        state.routes.adopt(route_table_from_document(document), in_use)
