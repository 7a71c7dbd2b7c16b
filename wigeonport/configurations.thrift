// Distribution of the fleet version from controls to entries.

struct Subscribe {
  1: required string node_id
  2: required string availability_zone
  3: required i64 run_ms
  4: required i64 version
}

struct ConfigUpdate {
  1: required i64 version
  2: required binary document
  3: required bool stale
}

struct VersionReport {
  1: required string node_id
  2: required string availability_zone
  3: required i64 run_ms
  4: required i64 version
}

struct ConfigRequest {
  1: required i64 above
}
