// Messages between replicas, and records of their journals.

struct Entry {
  1: required i64 index
  2: required i64 term
  3: required i16 kind
  4: required binary payload
}

struct HardState {
  1: required i64 term
  2: required string vote
}

struct SegmentHeader {
  1: required i32 format
  2: required i64 number
  3: required string identity
  4: required HardState hard_state
  5: required i64 last_index
  6: required bool starts_anew
}

struct JournalBatch {
  1: optional HardState hard_state
  2: required list<Entry> entries
}

struct SnapshotHeader {
  1: required i32 format
  2: required i64 index
  3: required i64 term
  4: required binary members
  5: required i64 size_bytes
  6: required i64 checksum
}

struct DiskIdentity {
  1: required i32 format
  2: required string cluster_id
  3: required string node
  4: required string identity
}

struct LoggedCommand {
  1: required i64 time_ms
  2: required binary command
}

struct PreVote {
  1: required i64 term
  2: required string sender
  3: required string recipient
  4: required i64 last_index
  5: required i64 last_term
}

struct PreVoteReply {
  1: required i64 term
  2: required string sender
  3: required string recipient
  4: required i64 proposed_term
  5: required bool granted
}

struct Vote {
  1: required i64 term
  2: required string sender
  3: required string recipient
  4: required i64 last_index
  5: required i64 last_term
  6: required bool handed_over
}

struct HandOver {
  1: required i64 term
  2: required string sender
  3: required string recipient
}

struct VoteReply {
  1: required i64 term
  2: required string sender
  3: required string recipient
  4: required bool granted
}

struct Append {
  1: required i64 term
  2: required string sender
  3: required string recipient
  4: required i64 prev_index
  5: required i64 prev_term
  6: required list<Entry> entries
  7: required i64 commit_index
  8: required i64 round
  9: required i64 sent_ms
}

struct AppendReply {
  1: required i64 term
  2: required string sender
  3: required string recipient
  4: required bool success
  5: required i64 match_index
  6: required i64 prev_index
  7: required i64 round
  8: required i64 sent_ms
}

struct SnapshotPiece {
  1: required i64 term
  2: required string sender
  3: required string recipient
  4: required i64 index
  5: required i64 index_term
  6: required binary members
  7: required i64 offset
  8: required i64 size_bytes
  9: required i64 checksum
  10: required binary data
}

struct SnapshotReply {
  1: required i64 term
  2: required string sender
  3: required string recipient
  4: required i64 index
  5: required i64 offset
}

struct JoinRequest {
  1: required string sender
  2: required string recipient
  3: required bool durable
  4: required bool blank
}

struct JoinReply {
  1: required string sender
  2: required string recipient
  3: required bool durable
  4: required bool blank
  5: required string leader_id
}

struct ProposeForward {
  1: required string sender
  2: required string recipient
  3: required i64 number
  4: required binary payload
}

struct ProposeReply {
  1: required string sender
  2: required string recipient
  3: required i64 number
  4: required string outcome
  5: required string reason
  6: required i64 index
  7: required binary answer
}

struct ReadIndex {
  1: required string sender
  2: required string recipient
  3: required i64 number
}

struct ReadIndexReply {
  1: required string sender
  2: required string recipient
  3: required i64 number
  4: required i64 index
}
