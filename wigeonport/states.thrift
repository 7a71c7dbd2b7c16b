// Commands of the replicated state machine and their answers.

struct SubmitPatch {
  1: required string document_json
}

struct ClaimKey {
  1: required string key
  2: required string digest
  3: required string attempt
}

struct CompleteClaim {
  1: required string key
  2: required string attempt
  3: required binary response
}

struct ReleaseClaim {
  1: required string key
  2: required string attempt
}

struct RequestGrant {
  1: required string grant
  2: required list<string> workers
  3: required string purpose
  4: required string author
  5: required string reason
  6: required i64 lease_ms
  7: required list<string> unavailable
}

struct RenewGrant {
  1: required string grant
  2: required i64 lease_ms
}

struct ConfirmDrain {
  1: required string grant
  2: required string worker
}

struct EndGrant {
  1: required string grant
  2: required list<string> healthy
  3: required i64 hold_ms
}

struct ReturnWorker {
  1: required string worker
  2: required i64 hold_ms
}

struct FinishMove {
  1: required string grant
  2: required string worker
  3: required string source
  4: optional string target
  5: required i64 hold_ms
}

struct PauseMaintenance {
  1: required string scope
  2: required string author
  3: required string reason
}

struct ResumeMaintenance {
  1: required string scope
  2: required string author
  3: required string reason
}

struct PatchAccepted {
  1: required string patch
  2: required i64 version
}

struct PatchRefused {
  1: required string patch
  2: required string why
  3: required i64 version
  4: required list<string> findings
  5: required string changes_json
  6: required string versions_json
  7: required bool complete
}

struct ClaimGranted {
  1: required string key
  2: required string attempt
}

struct ClaimRepeat {
  1: required string key
  2: required binary response
}

struct ClaimInProgress {
  1: required string key
  2: required i64 claimed_ms
}

struct ClaimUnknown {
  1: required string key
}

struct ClaimConflict {
  1: required string key
}

struct ClaimRefused {
  1: required string key
  2: required string why
}

struct ClaimCompleted {
  1: required string key
  2: required bool stored
}

struct ClaimReleased {
  1: required string key
  2: required string attempt
}

struct GrantGiven {
  1: required string grant
  2: required list<string> workers
  3: required i64 expires_ms
}

struct GrantRefused {
  1: required string grant
  2: required list<string> findings
}

struct GrantEnded {
  1: required string grant
  2: required list<string> missing
}

struct DrainConfirmed {
  1: required string grant
  2: required string worker
}

struct WorkerReturned {
  1: required string worker
  2: required i64 hold_until_ms
}

struct MoveFinished {
  1: required string worker
  2: required string source
  3: optional string target
}

struct MoveRefused {
  1: required string worker
  2: required list<string> findings
}

struct MaintenanceChanged {
  1: required string scope
  2: required bool paused
}

struct CommandRefused {
  1: required string why
}
