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
  // The receiver is meant as the issuer of the ticket; home_incarnation is
  // then the issuer's, and target is empty.
  15: bool to_issuer
  16: string priority
  17: i32 aim_ms
  18: i32 level
  // How likely the target may be sick for this request, in percent.
  19: i32 risk
  // Whether a target may have had the request before.
  20: bool repeat
}

// What a home tells of its target; suspicion in percent.
struct Glance {
  1: i32 load
  2: i32 suspicion
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
  6: optional Glance glance
}

struct Refusal {
  1: i64 exchange
  2: string outcome
  3: string reason
  4: string detail
  5: i32 retry_after_ms
  6: optional string moved_to
  7: optional Glance glance
}

// A node as another tells of it. The higher (incarnation, refutation, state)
// wins; state: 0 alive, 1 suspect, 2 dead, 3 left.
struct Member {
  1: string name
  2: i64 incarnation
  3: i32 refutation
  4: i32 state
  5: string address
  6: string region
  7: string zone
}

// One change that a home made to one of its targets. The (incarnation,
// sequence) of a home orders its changes; region and zone are the home's.
struct TargetChange {
  1: string home
  2: i64 home_incarnation
  3: i64 sequence
  4: string id
  5: string service_name
  6: i32 slots
  7: i32 weight
  8: string state
  9: string health
  10: i64 target_incarnation
  11: i32 moves
  12: bool gone
}

// What gossip carries, one of the fields; unknown ones are passed over.
struct Change {
  1: optional Member member
  2: optional TargetChange target
}

// Which version of a node's records the sender knows.
struct Version {
  1: string name
  2: i64 incarnation
  3: i32 refutation
  4: i32 state
  5: i64 home_incarnation
  6: i64 sequence
}

// What a home tells the entries of its zone of a target; suspicion in
// thousandths.
struct Condition {
  1: string target
  2: i32 load
  3: i32 suspicion
}

// What an entry has used of a service's retry budget in the present window.
struct Tally {
  1: string service_name
  2: i32 requests
  3: i32 retries
}

// A way on which requests of callers come, not only calls of targets.
struct Way {
  1: string service_name
  2: string prefix
}

// One UDP datagram of gossip; every field but the sender is optional.
struct Datagram {
  1: string sender
  2: i64 summary
  3: i32 ping
  4: i32 ack
  5: string relay
  6: list<binary> changes
  7: list<i64> buckets
  8: list<Version> versions
  9: list<i32> compared
  10: list<Condition> conditions
  11: list<Tally> tallies
  12: list<Way> ways
}

// All targets of one home: what is missing is gone.
struct HomeState {
  1: string home
  2: i64 incarnation
  3: i64 sequence
  4: list<TargetChange> targets
}

// A target that has told its home that it leaves, up to which of its starts.
struct Left {
  1: string target
  2: i64 incarnation
}

// Part of what the sender knows of the fleet; last ends an answer to a pull.
// left tells the asking node what earlier starts of it have acknowledged.
struct FleetState {
  1: string sender
  2: list<Member> members
  3: list<HomeState> homes
  4: bool last
  5: list<Left> left
}

// Asks for the records of some nodes, or of all where names is absent.
struct Pull {
  1: string sender
  2: string address
  3: list<string> names
}

// An object of the configuration at a version; the fingerprint is the value's.
struct ConfigurationStamp {
  1: string kind
  2: string name
  3: i64 version
  4: i64 fingerprint
}

// A whole object of the configuration, compressed.
struct ConfigurationObject {
  1: string kind
  2: string name
  3: i64 version
  4: binary packed
}

// What a node tells of its configuration; see config/spreading.py.
struct Configuration {
  1: string sender
  2: bool ready
  3: list<i64> digest
  4: bool same
  5: list<ConfigurationStamp> have
  6: list<i32> buckets
  7: list<ConfigurationStamp> want
  8: list<ConfigurationObject> objects
}

// Asks a node for what it has in force; an answer carries the same number.
struct ConfigurationAsk {
  1: string sender
  2: i64 number
  3: list<ConfigurationStamp> keys
}

// What is in force at a node; known holds higher versions that it refused.
struct ConfigurationState {
  1: string sender
  2: i64 number
  3: list<ConfigurationStamp> known
  4: list<ConfigurationStamp> in_force
}

// Asks a node for its proof that its configuration was the newest.
struct FreshnessAsk {
}

// The proof: a version, and how long ago it was the newest; no version where
// there is no proof. See config/freshness.py.
struct FreshnessState {
  1: i64 version
  2: i32 age_ms
}

// Asks for requests of a workspace's quota. between: the sender shares out the
// quota in another availability zone.
struct QuotaAsk {
  1: string workspace
  2: i32 count
  3: bool between
}

// Requests that the sender may run, taken from the answerer's share; where
// they are none, when to ask again.
struct QuotaGrant {
  1: i32 count
  2: i32 wait_ms
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
  // 5 was the announcement that every home sent to every node.
  6: optional Heartbeat heartbeat
  20: optional Configuration configuration
  21: optional ConfigurationAsk configuration_ask
  22: optional ConfigurationState configuration_state
  30: optional FleetState fleet_state
  31: optional Pull pull
  // A question and its answer on one link.
  40: optional FreshnessAsk freshness_ask
  41: optional FreshnessState freshness_state
  42: optional QuotaAsk quota_ask
  43: optional QuotaGrant quota_grant
}
