// Condition of a replica, asked for before a lost quorum is given up.

struct ReplicaProbe {
}

struct ReplicaReport {
  1: required string replica_id
  2: required string leader_id
  3: required i64 term
  4: required i64 last_index
}
