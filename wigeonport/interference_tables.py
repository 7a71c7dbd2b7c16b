"""The leader's table of kinds of task that slow each other down.

The table belongs to the dispatcher of one term. A new leader starts with an
empty one; ``docs/design/interference.md`` says why that is enough.
"""

from wigeonport.interference_evidence import ServiceEvidence
from wigeonport.interference_pairs import read_pairs
from wigeonport.run_neighbours import WorkerNeighbours

# Name of the table in the metrics.
INTERFERENCE_TABLE = "interference"
# Interval between two reviews of the evidence.
REVIEW_INTERVAL_MS = 500
# Interval between two updates of the metrics.
PUBLISH_INTERVAL_MS = 2_000


class InterferenceTable:
    """Evidence and live runs of all services, for one term of a leader.

    Attributes:
        separated_pairs: Frozensets of two kinds that an operator rules in.
        unseparated_pairs: Those that an operator rules out.
        services: Maps service to its ServiceEvidence.
        workers: Maps incarnation to its WorkerNeighbours.
        holds: Maps the prefix of a step's task ids to the Hold of its tasks.
        partners: Maps pairs of service and kind to the result of
            ``partners_of``, until the next review.
        due_ms: Monotonic time of the next review.
        publish_due_ms: Monotonic time of the next update of the metrics.
        counters: Maps the name of a metric to its count.
    """

    __slots__ = (
        "separated_pairs",
        "unseparated_pairs",
        "services",
        "workers",
        "holds",
        "partners",
        "due_ms",
        "publish_due_ms",
        "counters",
    )

    def __init__(self, settings):
        self.separated_pairs = read_pairs(settings.separated_pairs)
        self.unseparated_pairs = read_pairs(settings.unseparated_pairs)
        self.services = {}
        self.workers = {}
        self.holds = {}
        self.partners = {}
        self.due_ms = 0
        self.publish_due_ms = 0
        self.counters = {}

    def count(self, name, amount=1):
        """Adds to a counter."""
        self.counters[name] = self.counters.get(name, 0) + amount

    def evidence_of(self, service):
        """Returns the ServiceEvidence of a service; creates it if missing."""
        evidence = self.services.get(service)
        if evidence is None:
            evidence = self.services[service] = ServiceEvidence(service)
        return evidence

    def neighbours_of(self, worker):
        """Returns the WorkerNeighbours of a worker; creates it if missing."""
        neighbours = self.workers.get(worker.incarnation)
        if neighbours is None:
            neighbours = WorkerNeighbours(worker.measured_ms())
            self.workers[worker.incarnation] = neighbours
        return neighbours

    def partners_of(self, service, kind):
        """Returns the kinds to keep apart from a kind, in either direction.

        Returns:
            A dict from kind to the slow-down of the pair, which is None if
            only an operator has ruled it in.
        """
        partners = self.partners.get((service, kind))
        if partners is None:
            partners = self.find_partners(self.services.get(service), kind)
            self.partners[service, kind] = partners
        return partners

    def find_partners(self, evidence, kind):
        """Computes the result of ``partners_of``."""
        partners = {}
        for pair in self.separated_pairs:
            if kind in pair:
                partners[other_of(pair, kind)] = None
        separated = {} if evidence is None else evidence.separated
        for victim, found in separated.items():
            for neighbour, pair in found.items():
                if kind in (victim, neighbour):
                    other = neighbour if kind == victim else victim
                    known = partners.get(other, 0.0)
                    if known is not None:
                        partners[other] = max(known, pair.slow_down())
        for pair in self.unseparated_pairs:
            if kind in pair:
                partners.pop(other_of(pair, kind), None)
        return partners

    def on_end(self, dispatcher, worker, end):
        """Learns from the end of a run, before it is recorded."""
        neighbours = self.neighbours_of(worker)
        task = dispatcher.find_task(end.task)[2]
        others = len(task.runs.keys() - {end.run})
        now_ms = dispatcher.now_ms
        run = neighbours.end_run(worker, end, others, now_ms)
        if run is not None:
            self.count("interference_runs")
            evidence = self.evidence_of(worker.report.service)
            evidence.add_run(run, now_ms)

    def on_answer(self, dispatcher, worker, orders):
        """Records what runs on a worker once its heartbeat is handled."""
        neighbours = self.neighbours_of(worker)
        neighbours.follow(dispatcher, worker, orders)
        if orders.starts:
            evidence = self.evidence_of(worker.report.service)
            for kind in neighbours.counts:
                evidence.include_kind(kind, dispatcher.now_ms)

    def on_tick(self, dispatcher, now_ms):
        """Reviews the evidence, and forgets workers that have left."""
        if now_ms < self.due_ms:
            return
        self.due_ms = now_ms + REVIEW_INTERVAL_MS
        self.partners.clear()

        def is_over(prefix):
            entry = dispatcher.find_task(f"{prefix}.0")
            return entry is None or not entry[1].remaining

        for evidence in self.services.values():
            evidence.review(is_over, now_ms)
        for incarnation in self.workers.keys() - dispatcher.workers.runs:
            del self.workers[incarnation]
        for prefix, hold in list(self.holds.items()):
            if hold.is_over(now_ms):
                del self.holds[prefix]

    def to_rows(self, now_ms):
        """Returns the pairs with samples as plain data for operators."""
        return [
            evidence.describe(pair) | pair.to_state(now_ms)
            for evidence in self.services.values()
            for pair in evidence.pairs.values()
        ]

    def publish(self, metrics, now_ms):
        """Sets the metrics of the table, if that is due."""
        if now_ms < self.publish_due_ms:
            return
        self.publish_due_ms = now_ms + PUBLISH_INTERVAL_MS
        rows = self.to_rows(now_ms)
        metrics.tables[INTERFERENCE_TABLE] = rows
        metrics.set("interference_pairs", len(rows))
        separated = sum(row["separated"] for row in rows)
        metrics.set("interference_separated_pairs", separated)
        for name, amount in self.counters.items():
            metrics.count(name, amount)
        self.counters.clear()


def other_of(pair, kind):
    """Returns the other kind of a pair, which may be the kind itself."""
    return next(iter(pair - {kind}), kind)


def render_rows(rows):
    """Returns the lines of a text table, the highest slow-down first."""
    lines = [
        f"{'service':16} {'kind':24} {'beside':24} {'slow-down':20}"
        f" {'steps':>11} {'last s':>7}  kept apart"
    ]
    for row in sorted(rows, key=lambda row: -row.get("slow_down", 0)):
        slow_down = "too few steps"
        if "slow_down" in row:
            limits = f"{row['slow_down_low']} to {row['slow_down_high']}"
            slow_down = f"{row['slow_down']} ({limits})"
        steps = f"{row['steps_beside']:.0f}/{row['steps_alone']:.0f}"
        apart = "no"
        if row["separated"]:
            apart = f"for {row['separated_for_ms'] / 1_000:.0f} s"
        lines.append(
            f"{row['service']:16} {row['kind']:24} {row['neighbour']:24}"
            f" {slow_down:20} {steps:>11}"
            f" {row['last_sample_ms'] / 1_000:7.0f}  {apart}"
        )
    return lines


def make_table(settings):
    """Returns the InterferenceTable, or None where it is switched off."""
    if not settings.separate_interfering_tasks:
        return None
    return InterferenceTable(settings)
