// Messages between nodes. Fields are only ever added, each optional, so that
// nodes of two releases understand each other.

struct Header {
  1: binary name
  2: binary value
}

// The head of a forwarded request; body holds it whole if body_complete.
struct Forward {
  1: i64 exchange
  2: string request_id
  3: string method
  4: string path
  5: list<Header> headers
  6: string service_name
  7: string target
  8: i64 home_incarnation
  9: i32 remaining_ms
  10: string workspace
  11: binary body
  12: bool body_complete
  13: string ticket
  14: i32 attempt
}

struct Chunk {
  1: i64 exchange
  2: binary data
  3: bool last
}

// The head of an answer; body holds it whole if body_complete.
struct Answer {
  1: i64 exchange
  2: i32 status
  3: list<Header> headers
  4: binary body
  5: bool body_complete
}

struct Refusal {
  1: i64 exchange
  2: string outcome
  3: string reason
  4: string detail
  5: i32 retry_after_ms
}

// A target as its home announces it; the higher (home_incarnation, sequence)
// of one home wins.
struct Target {
  1: string id
  2: string service_name
  3: string home
  4: i64 home_incarnation
  5: i64 sequence
  6: string region
  7: string zone
  8: i32 slots
  9: i32 weight
  10: string state
  11: string health
  12: i64 target_incarnation
}

// All targets of one home: what is missing is gone.
struct Announce {
  1: string home
  2: i64 home_incarnation
  3: i64 sequence
  4: list<Target> targets
}

// Sent by a home while an exchange goes on: silence means a broken path.
struct Heartbeat {
  1: i64 exchange
}

struct Frame {
  1: optional Forward forward
  2: optional Chunk chunk
  3: optional Answer answer
  4: optional Refusal refusal
  5: optional Announce announce
  6: optional Heartbeat heartbeat
}
