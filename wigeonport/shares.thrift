// Leased shares of an endpoint's slots.

struct ShareWant {
  1: required string endpoint_id
  2: required i64 incarnation
  3: required i32 wanted
  4: required i32 in_use
  5: required i64 applied
}

struct ShareRequest {
  1: required string origin
  2: required i64 number
  3: required list<ShareWant> wants
}

struct GrantedShare {
  1: required string endpoint_id
  2: required i64 incarnation
  3: required i32 slots
  4: required i64 number
}

struct ShareGrant {
  1: required string origin
  2: required i64 number
  3: required i32 lease_ms
  4: required list<GrantedShare> shares
}
