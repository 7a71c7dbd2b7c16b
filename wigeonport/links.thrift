// Frames and liveness of the links between wigeonport's processes.

struct Envelope {
  1: required i16 format
  2: required i16 exchange
  3: required i64 sequence
  4: required i64 lamport
  5: required binary payload
}

struct Challenge {
  1: required i16 format
  2: required binary nonce
}

struct Hello {
  1: required string node_id
  2: required string availability_zone
  3: required string cluster_id
  4: required string key_id
  5: required binary nonce
}

struct Ping {
  1: required i64 sent_ms
}

struct Failure {
  1: required string reason
}
