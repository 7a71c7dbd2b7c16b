// Commands of the batch jobs, and calls between entries and controls.

struct RecordBatch {
  1: required i64 time_ms
  2: required list<binary> operations
}

struct BatchRecorded {
  1: required i64 count
}

struct SubmitJob {
  1: required string job_id
  2: required string queue
  3: required string spec_json
  4: optional string tenant
}

struct CancelJob {
  1: required string job_id
}

struct AddTombstone {
  1: required string job_id
  2: required string tenant
}

struct OpenOccurrence {
  1: required string job_id
  2: required i64 occurrence
}

struct StartRuns {
  1: required list<string> tasks
  2: required list<i64> runs
  3: required string worker
}

struct EndRuns {
  1: required list<string> tasks
  2: required list<i64> runs
  3: required list<string> outcomes
  4: required list<string> checkpoints
}

struct AdoptRoutes {
  1: required i64 version
  2: required binary document
}

struct OpenWave {
  1: required i64 wave
  2: required list<string> machines
  3: required i64 due_ms
  4: required i64 max_count
}

struct OrderMachine {
  1: required string machine
  2: required string purpose
  3: required string target
}

struct ConfirmMachine {
  1: required string machine
}

struct SettleMachine {
  1: required string machine
  2: required bool gone
}

struct BatchCall {
  1: required string verb
  2: required string host
  3: required string path
  4: required string spec_json
  5: required string request_id
  6: optional string api_key
}

struct BatchReply {
  1: required string outcome
  2: required string detail
  3: required i64 number
  4: required string leader
}
