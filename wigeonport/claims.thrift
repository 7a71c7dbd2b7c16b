// Stored answers of keyed requests.

struct HeaderPair {
  1: required binary name
  2: required binary value
}

struct StoredAnswer {
  1: required i32 status
  2: required list<HeaderPair> headers
  3: required binary body
}
