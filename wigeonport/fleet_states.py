"""Replicated part: fleet versions, their history and answers to patches."""

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

# Two days of history at 1,900 configuration changes a day.
MAX_RETAINED_VERSIONS = 4_000
MAX_RETAINED_CHANGES = 200_000
# Stored answers only tell the sender of a resent patch what happened. Even
# without them a patch can't be accepted twice, because the version it was
# written against stays stale. A week covers an operator's absence.
ANSWER_RETENTION_MS = 7 * 24 * 3_600_000
MAX_RETAINED_ANSWERS = 20_000
MAX_LISTED_CHANGES = 200
MAX_LISTED_VERSIONS = 100


class VersionRecord(Record):
    """Origin and changes of a fleet version.

    Attributes:
        version: Version number.
        patch: Patch id.
        author: Who submitted the patch.
        reason: Why the patch was submitted.
        time_ms: Wall time at which the leader appended the patch to the log.
        changes: Changes from the previous version.
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
        """Returns the record as plain data."""
        document = super().to_document()
        document["changes"] = [c.to_document() for c in self.changes]
        return document

    def summary(self):
        """Returns plain data with the number of changes in their place."""
        document = super().to_document()
        document["changes"] = len(self.changes)
        return document


class StoredAnswer(Record):
    """The first answer to a patch id.

    Attributes:
        digest: Digest of the content of the patch.
        answer: PatchAccepted or PatchRefused.
        time_ms: Wall time of the first submission.
    """

    __slots__ = ("digest", "answer", "time_ms")

    def __init__(self, digest, answer, time_ms):
        self.digest = digest
        self.answer = answer
        self.time_ms = time_ms


class FleetState:
    """Fleet version in force, its history and answers to patches.

    Attributes:
        fleet: Fleet of the version in force.
        history: VersionRecords of the retained versions, oldest first.
        answers: Maps patch id to StoredAnswer, oldest first.
        change_count: Number of changes in the history.
    """

    __slots__ = ("fleet", "history", "answers", "change_count")

    def __init__(self):
        self.fleet = Fleet()
        self.history = deque()
        self.answers = {}
        self.change_count = 0

    def submit(self, document_json, now_ms):
        """Applies a patch, given as JSON text, and returns the answer."""
        self._expire_answers(now_ms)
        parsed = parse_json(document_json)
        if parsed.is_error():
            return self._refusal("", "invalid", [parsed.error])
        decoded = patch_from_document(parsed.ok)
        if decoded.is_error():
            return self._refusal(
                _find_patch_id(parsed.ok), "invalid", decoded.error
            )
        patch = decoded.ok
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
            return self._refuse_stale(patch)
        applied = patch.apply(self.fleet, self.fleet_at_version)
        if applied.is_error():
            return self._refusal(patch.id, "invalid", applied.error)
        changes = diff(self.fleet, applied.ok)
        self.fleet = applied.ok
        self._append_to_history(
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

    def _append_to_history(self, record):
        self.history.append(record)
        self.change_count += len(record.changes)
        while len(self.history) > 1 and (
            len(self.history) > MAX_RETAINED_VERSIONS
            or self.change_count > MAX_RETAINED_CHANGES
        ):
            self.change_count -= len(self.history.popleft().changes)

    def _refuse_stale(self, patch):
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
        """Returns the merged changes since a version, or None.

        None if the history no longer has all versions since then.
        """
        newer = [r for r in self.history if r.version > version]
        if len(newer) != self.fleet.version - version:
            return None
        return merge_changes(c for record in newer for c in record.changes)

    def fleet_at_version(self, version):
        """Returns the Fleet of a version, or None if it is not retained."""
        if version == self.fleet.version:
            return self.fleet
        changes = self.changes_since(version)
        if changes is None or version > self.fleet.version:
            return None
        reversed_changes = [change.reversed() for change in changes]
        return apply_changes(self.fleet, reversed_changes, version)

    def to_document(self):
        """Returns the state as plain data."""
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
    except (ValueError, RecursionError) as error:
        return Error(f"the document is not JSON: {error}")


def _find_patch_id(document):
    id = document.get("id") if isinstance(document, dict) else None
    return id if isinstance(id, str) else ""


@HANDLERS.register(SubmitPatch)
def handle_submit_patch(state, command, now_ms):
    """Applies a patch and adds new VMs to the pools it assigns them to."""
    answer = state.fleet.submit(command.document_json, now_ms)
    if isinstance(answer, PatchAccepted):
        joined = state.pools.add_new_workers(state.fleet.fleet)
        state.maintenance.joined.update(dict.fromkeys(joined, now_ms))
    return answer
