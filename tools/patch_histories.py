"""Checker of recorded patch histories; a pure function of its input.

It compares what operators were told about their patches with the final
history of the fleet and with the versions that the processes applied.
"""

from collections import Counter, defaultdict

from patch_records import ACCEPTED, CUT, DECIDED, DOWN, INVALID, NOT_RUN, STALE

from wigeonport.registries import Registry

properties = Registry("property")

# A neighbour passes its version on at the next subscription; one that has
# applied it less than this before cannot be asked in time.
NEIGHBOUR_UPDATE_MS = 2_000


@properties.register("acknowledged patches are kept")
def check_acknowledged_kept(history):
    """Each acknowledged patch is in the final history, as acknowledged."""
    final = set(history.final)
    return [
        f"{s.patch}: acknowledged as version {s.version}, which is not there"
        for s in history.attempts
        if s.outcome == ACCEPTED and (s.version, s.patch) not in final
    ]


@properties.register("one patch for each version")
def check_one_patch_per_version(history):
    """No two patches were accepted against the same version."""
    patches_by_base = defaultdict(set)
    for attempt in history.attempts:
        if attempt.outcome == ACCEPTED:
            patches_by_base[attempt.base_version].add(attempt.patch)
    return [
        f"version {version}: {', '.join(sorted(patches))}"
        for version, patches in sorted(patches_by_base.items())
        if len(patches) > 1
    ]


@properties.register("versions are dense")
def check_dense(history):
    """The history counts from 1 without holes and lists a patch once."""
    versions = [version for version, _ in history.final]
    texts = []
    if versions != list(range(1, len(versions) + 1)):
        texts.append(f"the final history holds {versions}")
    counts = Counter(patch for _, patch in history.final)
    texts += [f"{p}: {n} versions" for p, n in counts.items() if n > 1]
    texts += [
        f"{s.patch}: version {s.version} against {s.base_version}"
        for s in history.attempts
        if s.outcome == ACCEPTED and s.version != s.base_version + 1
    ]
    return texts


@properties.register("resends get the same answer")
def check_resends(history):
    """All decided answers to one patch are equal."""
    texts = []
    for patch, attempts in history.attempts_by_patch().items():
        bodies = {s.body for s in attempts if s.outcome in DECIDED}
        if len(bodies) > 1:
            texts.append(f"{patch}: {' / '.join(sorted(bodies))[:300]}")
    return texts


@properties.register("stale patches get the changes since")
def check_stale(history):
    """A stale answer lists the versions since and their joint change."""
    values = {s.patch: s.value for s in history.attempts}
    value_of = {v: values.get(patch) for v, patch in history.final}
    texts = []
    for attempt in history.attempts:
        if attempt.outcome != STALE:
            continue
        since = [
            pair
            for pair in history.final
            if attempt.base_version < pair[0] <= attempt.version
        ]
        pair = (attempt.before, attempt.after)
        wanted = (
            value_of.get(attempt.base_version),
            value_of.get(attempt.version),
        )
        if not attempt.complete or not since or attempt.since != since:
            texts.append(f"{attempt.patch}: got {attempt.since}, not {since}")
        elif None not in wanted and pair != wanted:
            texts.append(f"{attempt.patch}: change {pair}, not {wanted}")
    return texts


@properties.register("refused patches never appear")
def check_refused(history):
    """A patch that was refused or not run is not in the history."""
    appeared = {patch for _, patch in history.final}
    texts = []
    for patch, attempts in history.attempts_by_patch().items():
        outcomes = {s.outcome for s in attempts}
        certain = outcomes == {NOT_RUN} or outcomes & {STALE, INVALID}
        if certain and patch in appeared:
            texts.append(f"{patch}: told {sorted(outcomes)}, but it appeared")
    return texts


@properties.register("versions never go back in a run")
def check_runs(history):
    """The versions of a run rise, as events and as polls show them."""
    texts = []
    for process, runs in history.runs().items():
        for run in runs.values():
            for before, after in zip(run, run[1:], strict=False):
                if after.version <= before.version:
                    step = f"{before.version} to {after.version}"
                    texts.append(f"{process}: applied {step}")
    highest = {}
    for poll in history.polled:
        known = highest.get((poll.process, poll.source), 0)
        if poll.version < known:
            text = f"{known} to {poll.version} at {poll.wall_ms}"
            texts.append(f"{poll.process}: {poll.source} from {text}")
        highest[poll.process, poll.source] = max(known, poll.version)
    return texts


@properties.register("versions never go back over a restart")
def check_restarts(history):
    """A run does not start below its past if more could be known.

    Only in a cut zone may a version that no quorum confirmed be lower, and
    only if no running entry of the zone applies a higher one.
    """
    texts = []
    for process, runs in history.runs().items():
        highest = 0
        for run in runs.values():
            first = run[0]
            if first.version < highest and not _is_excused(history, first):
                step = f"{highest} to {first.version} at {first.wall_ms}"
                texts.append(f"{process}: restarted from {step}")
            highest = max(highest, *(item.version for item in run))
    return texts


def _is_excused(history, first):
    cut = history.is_faulty(CUT, first.zone, first.wall_ms)
    if not cut or not first.stale:
        return False
    before_ms = first.wall_ms - NEIGHBOUR_UPDATE_MS
    return not any(
        other.version > first.version and _is_up_between(history, other, first)
        for other in history.applied
        if other.zone == first.zone
        and other.process != first.process
        and other.wall_ms < before_ms
    )


def _is_up_between(history, other, first):
    """Returns whether a process ran on from its event until another one."""
    return not any(
        fault.kind == DOWN
        and fault.name == other.process
        and fault.until_ms >= other.wall_ms
        and fault.from_ms <= first.wall_ms
        for fault in history.faults
    )


@properties.register("every process has the last version in time")
def check_reached(history):
    """All processes have the last version soon after the failures."""
    last = max((version for version, _ in history.final), default=0)
    deadline_ms = history.failures_ended_ms + history.limit_ms
    reached = {
        item.process
        for item in (*history.applied, *history.polled)
        if item.version >= last and item.wall_ms <= deadline_ms
    }
    return [
        f"{process}: not at version {last} within {history.limit_ms} ms"
        for process in sorted(set(history.processes) - reached)
    ]


def find_violations(history):
    """Returns the violations by property."""
    return {
        name: properties.get(name).ok(history) for name in properties.names()
    }


def count(history):
    """Returns the counts that are printed."""
    patches = history.attempts_by_patch().values()
    return {
        "patches": len(patches),
        "accepted": sum(
            any(s.outcome == ACCEPTED for s in attempts)
            for attempts in patches
        ),
        "stale": sum(
            any(s.outcome == STALE for s in attempts) for attempts in patches
        ),
        "resent": sum(len(attempts) > 1 for attempts in patches),
        "answers": dict(Counter(s.outcome for s in history.attempts)),
        "versions": len(history.final),
        "applied_events": len(history.applied),
        "polls": len(history.polled),
    }
