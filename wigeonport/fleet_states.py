"""Replicated part: fleet versions, their history and patch answers."""

import json
from collections import deque

from expression import Error, Ok, Result

from wigeonport.codecs import message_kinds
from wigeonport.fleet_changes import (
    Change,
    apply_changes,
    diff,
    merge_changes,
)
from wigeonport.fleets import Fleet, fleet_from_document
from wigeonport.patches import patch_from_document
from wigeonport.records import Record
from wigeonport.state_answers import PatchAccepted, PatchRefused
from wigeonport.state_commands import HANDLERS, SubmitPatch

# Two days at 1,900 configuration changes a day.
MAX_RETAINED_VERSIONS = 4_000
MAX_RETAINED_CHANGES = 200_000
# An accepted patch can never be accepted again, because the version it names
# stays stale. Answers only tell a resend what happened; a week covers an
# operator's absence.
ANSWER_RETENTION_MS = 7 * 24 * 3_600_000
MAX_RETAINED_ANSWERS = 20_000
MAX_LISTED_CHANGES = 200
MAX_LISTED_VERSIONS = 100


class VersionRecord(Record):
    """How a version came about.

    Attributes:
        version: Version number.
        patch: Patch id.
        author: Who submitted the patch.
        reason: Why.
        time_ms: Wall time at which the leader proposed it.
        changes: Changes from the version before.
    """

    __slots__ = ("version", "patch", "author", "reason", "time_ms", "changes")

    def __init__(self, version, patch, author, reason, time_ms, changes):
        self.version = version
        self.patch = patch
        self.author = author
        self.reason = reason
        self.time_ms = time_ms
        self.changes = changes

    def to_document(self):
        """Returns plain data."""
        document = super().to_document()
        document["changes"] = [c.to_document() for c in self.changes]
        return document

    def summary(self):
        """Returns plain data without the changes."""
        document = super().to_document()
        document["changes"] = len(self.changes)
        return document


class StoredAnswer(Record):
    """The first answer to a patch id.

    Attributes:
        digest: Digest of the patch's content.
        answer: The answer.
        time_ms: Wall time of the first submission.
    """

    __slots__ = ("digest", "answer", "time_ms")

    def __init__(self, digest, answer, time_ms):
        self.digest = digest
        self.answer = answer
        self.time_ms = time_ms


class FleetState:
    """Current fleet version, history and answers.

    Attributes:
        fleet: The version in force.
        history: VersionRecord of the retained versions, oldest first.
        answers: StoredAnswer by patch id, oldest first.
        change_count: Number of changes in the history.
    """

    __slots__ = ("fleet", "history", "answers", "change_count")

    def __init__(self):
        self.fleet = Fleet()
        self.history = deque()
        self.answers = {}
        self.change_count = 0

    def submit(self, document_json, now_ms):
        """Applies a patch, given as JSON text; returns the answer."""
        self._expire_answers(now_ms)
        parsed = parse_json(document_json)
        if parsed.is_error():
            return self._refusal("", "invalid", [parsed.error])
        read = patch_from_document(parsed.ok)
        if read.is_error():
            return self._refusal(_id_of(parsed.ok), "invalid", read.error)
        patch = read.ok
        digest = patch.digest()
        stored = self.answers.get(patch.id)
        if stored is not None:
            if stored.digest == digest:
                return stored.answer
            text = f"patch id {patch.id!r} was used for another patch"
            return self._refusal(patch.id, "conflict", [text])
        answer = self._decide(patch, now_ms)
        self.answers[patch.id] = StoredAnswer(digest, answer, now_ms)
        if len(self.answers) > MAX_RETAINED_ANSWERS:
            del self.answers[next(iter(self.answers))]
        return answer

    def _decide(self, patch, now_ms):
        if patch.against_version != self.fleet.version:
            return self._stale(patch)
        applied = patch.apply(self.fleet, self.fleet_at_version)
        if applied.is_error():
            return self._refusal(patch.id, "invalid", applied.error)
        changes = diff(self.fleet, applied.ok)
        self.fleet = applied.ok
        self._remember(
            VersionRecord(
                self.fleet.version,
                patch.id,
                patch.author,
                patch.reason,
                now_ms,
                changes,
            )
        )
        return PatchAccepted(patch.id, self.fleet.version)

    def _remember(self, record):
        self.history.append(record)
        self.change_count += len(record.changes)
        while len(self.history) > 1 and (
            len(self.history) > MAX_RETAINED_VERSIONS
            or self.change_count > MAX_RETAINED_CHANGES
        ):
            self.change_count -= len(self.history.popleft().changes)

    def _stale(self, patch):
        stated, current = patch.against_version, self.fleet.version
        text = (
            f"written against version {stated}, version {current} is current"
        )
        if stated > current:
            text = f"version {stated} does not exist; {current} is current"
        answer = self._refusal(patch.id, "stale", [text])
        if stated > current:
            return answer
        changes = self.changes_since(stated)
        answer.complete = changes is not None
        listed = changes or []
        documents = [c.to_document() for c in listed[:MAX_LISTED_CHANGES]]
        answer.changes_json = json.dumps(documents)
        newer = [r.summary() for r in self.history if r.version > stated]
        answer.versions_json = json.dumps(newer[-MAX_LISTED_VERSIONS:])
        if (
            len(listed) > MAX_LISTED_CHANGES
            or len(newer) > MAX_LISTED_VERSIONS
        ):
            answer.complete = False
        return answer

    def _refusal(self, id, why, findings):
        texts = getattr(findings, "lines", lambda: list(findings))()
        version = self.fleet.version
        return PatchRefused(id, why, version, texts, "[]", "[]", True)

    def _expire_answers(self, now_ms):
        oldest_ms = now_ms - ANSWER_RETENTION_MS
        expired = []
        for id, stored in self.answers.items():
            if stored.time_ms > oldest_ms:
                break
            expired.append(id)
        for id in expired:
            del self.answers[id]

    def changes_since(self, version):
        """Returns merged changes since a version, or None if forgotten."""
        newer = [r for r in self.history if r.version > version]
        if len(newer) != self.fleet.version - version:
            return None
        return merge_changes(c for record in newer for c in record.changes)

    def fleet_at_version(self, version):
        """Returns a retained version as a Fleet, or None."""
        if version == self.fleet.version:
            return self.fleet
        changes = self.changes_since(version)
        if changes is None or version > self.fleet.version:
            return None
        back = [change.reversed() for change in changes]
        return apply_changes(self.fleet, back, version)

    def to_document(self):
        """Returns plain data."""
        return {
            "fleet": self.fleet.to_document(),
            "history": [record.to_document() for record in self.history],
            "answers": [
                {
                    "id": id,
                    "digest": stored.digest,
                    "time_ms": stored.time_ms,
                    "kind": type(stored.answer).__name__,
                    "answer": stored.answer.to_document(),
                }
                for id, stored in self.answers.items()
            ],
        }


def fleet_state_from_document(document):
    """Returns the FleetState of a snapshot."""
    state = FleetState()
    state.fleet = fleet_from_document(document["fleet"]).ok
    for item in document["history"]:
        changes = [Change(**change) for change in item["changes"]]
        state.history.append(VersionRecord(**(item | {"changes": changes})))
        state.change_count += len(changes)
    for item in document["answers"]:
        answer = message_kinds.entries[item["kind"]](**item["answer"])
        stored = StoredAnswer(item["digest"], answer, item["time_ms"])
        state.answers[item["id"]] = stored
    return state


def parse_json(text) -> Result:
    """Returns the value of a JSON text, or an error text."""
    try:
        return Ok(json.loads(text))
    except (ValueError, RecursionError) as fault:
        return Error(f"the document is not JSON: {fault}")


def _id_of(document):
    id = document.get("id") if isinstance(document, dict) else None
    return id if isinstance(id, str) else ""


@HANDLERS.register(SubmitPatch)
def handle_submit_patch(state, command, now_ms):
    """Applies a patch and lets new VMs join their pools."""
    answer = state.fleet.submit(command.document_json, now_ms)
    if isinstance(answer, PatchAccepted):
        joined = state.pools.add_new_workers(state.fleet.fleet)
        state.maintenance.joined.update(dict.fromkeys(joined, now_ms))
    return answer
