// Endpoint tables between entries.

struct EndpointRecord {
  1: required string endpoint_id
  2: required string service_id
  3: required string availability_zone
  4: required string host
  5: required i32 port
  6: required i32 slots
  7: required i32 connections
  8: required string state
  9: required i64 incarnation
  10: required i64 sequence
}

struct TableEntry {
  1: required EndpointRecord record
  2: required i64 first_sequence
}

struct EndpointUpdate {
  1: required string origin
  2: required i64 epoch
  3: required i64 number
  4: required string change
  5: required TableEntry entry
}

struct TableDigest {
  1: required string origin
  2: required i64 epoch
  3: required i64 number
  4: required i32 count
  5: required i64 checksum
}

struct TableRequest {
  1: required string origin
}

struct TablePiece {
  1: required string origin
  2: required i64 epoch
  3: required i64 number
  4: required i32 part
  5: required i32 parts
  6: required list<TableEntry> entries
}
