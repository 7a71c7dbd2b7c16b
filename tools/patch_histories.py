"""Checker of recorded patch histories; a pure function of its input.

It compares the answers that operators got for their patches with the final
history of the fleet and with the versions that the processes applied. Each
property is a registered function that returns the texts of its violations.
"""

from collections import Counter, defaultdict

from patch_records import ACCEPTED, CUT, DECIDED, DOWN, INVALID, NOT_RUN, STALE

from wigeonport.registries import Registry

properties = Registry("property")

# An entry learns the version of another entry of its zone only at the next
# subscription, so that a version which the other one applied less than this
# long before may not have reached it yet.
NEIGHBOUR_UPDATE_MS = 2_000


@properties.register("acknowledged patches are kept")
def check_acknowledged_kept(history):
    """Each accepted patch has its acknowledged version in the history."""
    final = set(history.final)
    return [
        f"patch {s.patch}: acknowledged as version {s.version}, but the "
        f"final history does not list it as this version"
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
        f"base version {version}: patches {', '.join(sorted(patches))} were "
        f"accepted"
        for version, patches in sorted(patches_by_base.items())
        if len(patches) > 1
    ]


@properties.register("versions are dense")
def check_dense(history):
    """Versions count from 1 without gaps, and each patch has one version."""
    versions = [version for version, _ in history.final]
    texts = []
    if versions != list(range(1, len(versions) + 1)):
        texts.append(f"the versions of the final history are {versions}")
    counts = Counter(patch for _, patch in history.final)
    texts += [f"patch {p}: {n} versions" for p, n in counts.items() if n > 1]
    texts += [
        f"patch {s.patch}: accepted as version {s.version} against base "
        f"version {s.base_version}"
        for s in history.attempts
        if s.outcome == ACCEPTED and s.version != s.base_version + 1
    ]
    return texts


@properties.register("resends get the same answer")
def check_resends(history):
    """All answers that decide on a patch are equal."""
    texts = []
    for patch, attempts in history.attempts_by_patch().items():
        bodies = {s.body for s in attempts if s.outcome in DECIDED}
        if len(bodies) > 1:
            texts.append(
                f"patch {patch}: got different answers: "
                f"{' / '.join(sorted(bodies))[:300]}"
            )
    return texts


@properties.register("stale patches get the changes since")
def check_stale(history):
    """A stale answer lists the later versions and their combined change."""
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
        expected = (
            value_of.get(attempt.base_version),
            value_of.get(attempt.version),
        )
        if not attempt.complete or not since or attempt.since != since:
            texts.append(
                f"patch {attempt.patch}: the answer lists {attempt.since}, "
                f"expected {since}"
            )
        elif None not in expected and pair != expected:
            texts.append(
                f"patch {attempt.patch}: the values before and after are "
                f"{pair}, expected {expected}"
            )
    return texts


@properties.register("refused patches never appear")
def check_refused(history):
    """A patch that was refused or not run is not in the final history."""
    appeared = {patch for _, patch in history.final}
    texts = []
    for patch, attempts in history.attempts_by_patch().items():
        outcomes = {s.outcome for s in attempts}
        was_refused = outcomes == {NOT_RUN} or outcomes & {STALE, INVALID}
        if was_refused and patch in appeared:
            texts.append(
                f"patch {patch}: answered {sorted(outcomes)}, but it is in "
                f"the final history"
            )
    return texts


@properties.register("versions never go back in a run")
def check_runs(history):
    """In one run of a process, versions never go back.

    Each event must show a higher version than the one before, each poll at
    least the version that the polls of the same source showed before.
    """
    texts = []
    for process, runs in history.runs().items():
        for run in runs.values():
            for before, after in zip(run, run[1:], strict=False):
                if after.version <= before.version:
                    change = f"{before.version} to {after.version}"
                    texts.append(f"{process}: went from version {change}")
    highest = {}
    for poll in history.polled:
        highest_polled = highest.get((poll.process, poll.source), 0)
        if poll.version < highest_polled:
            text = f"{highest_polled} to {poll.version} at {poll.wall_ms} ms"
            texts.append(
                f"{poll.process}: {poll.source} went from version {text}"
            )
        highest[poll.process, poll.source] = max(highest_polled, poll.version)
    return texts


@properties.register("versions never go back over a restart")
def check_restarts(history):
    """A process does not restart below the versions of its earlier runs.

    A lower version is excused only if no quorum confirmed it, the zone is
    cut off, and no running entry of the zone has applied a higher one.
    """
    texts = []
    for process, runs in history.runs().items():
        highest = 0
        for run in runs.values():
            first = run[0]
            if first.version < highest and not _is_excused(history, first):
                change = f"{highest} to {first.version} at {first.wall_ms} ms"
                texts.append(f"{process}: restart from version {change}")
            highest = max(highest, *(item.version for item in run))
    return texts


def _is_excused(history, first):
    """Returns whether a process may restart with this lower version.

    Args:
        history: PatchHistory.
        first: First AppliedVersion of the run.
    """
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
    """Returns whether a process was never down between two events.

    Args:
        history: PatchHistory.
        other: AppliedVersion of the process, the earlier event.
        first: AppliedVersion of another process, the later event.
    """
    return not any(
        fault.kind == DOWN
        and fault.name == other.process
        and fault.until_ms >= other.wall_ms
        and fault.from_ms <= first.wall_ms
        for fault in history.faults
    )


@properties.register("every process has the last version in time")
def check_reached(history):
    """All processes have the last version in time after the failures."""
    last = max((version for version, _ in history.final), default=0)
    deadline_ms = history.failures_ended_ms + history.limit_ms
    reached = {
        item.process
        for item in (*history.applied, *history.polled)
        if item.version >= last and item.wall_ms <= deadline_ms
    }
    return [
        f"{process}: not at version {last} within {history.limit_ms} ms "
        f"after the last failure"
        for process in sorted(set(history.processes) - reached)
    ]


def find_violations(history):
    """Checks all properties of a history.

    Returns:
        Dict that maps the name of a property to the list of the texts of
        its violations.
    """
    return {
        name: properties.get(name).ok(history) for name in properties.names()
    }


def count_outcomes(history):
    """Returns the counts of a history that the soak prints."""
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
