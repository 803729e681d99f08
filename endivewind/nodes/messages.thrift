// Messages between nodes. For compatibility between releases, fields are only
// added, never removed or renumbered, and each one is optional.

struct Header {
  1: binary name
  2: binary value
}

// The head of a request that is forwarded to a home node. If body_complete is
// set, body is the whole body.
struct ForwardedRequest {
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
  // Whether the receiver is addressed as the issuer of the ticket;
  // home_incarnation is then the issuer's, and target is empty.
  15: bool to_issuer
  16: string priority
  17: i32 aim_ms
  18: i32 level
  // Highest suspicion of a target that may get the request, in percent.
  19: i32 risk
  // Whether a target may have received the request before.
  20: bool repeat
  // Whether the request is a call of a target, which goes ahead of other
  // requests of its level; absent unless it inherits its level.
  21: bool call
  // The workspace whose fair share the call counts towards in queues.
  22: string fair_workspace
  // Probability that the request is a call made for a repeat, in percent; absent
  // if it is zero.
  23: i32 repeat_percent
}

// Status of a target, attached by its home node to each response.
// suspicion: probability that the target is unhealthy, in percent.
// limit_wait_ms: time until the target's rate limit allows another request.
// leaving_incarnation: the target's incarnation, if its responses have said
// that it is about to stop.
// work_ms: mean time that the target works on a request, if its home measures.
// request_age_ms: time since the request was sent to the target; absent unless
// another target may have received it before.
struct TargetReport {
  1: i32 load
  2: i32 suspicion
  3: i32 limit_wait_ms
  4: i64 leaving_incarnation
  5: i32 work_ms
  6: i32 request_age_ms
}

// A part of a request or response body.
struct BodyChunk {
  1: i64 exchange
  2: binary data
  3: bool last
}

// The head of a response. If body_complete is set, body is the whole body.
struct Response {
  1: i64 exchange
  2: i32 status
  3: list<Header> headers
  4: binary body
  5: bool body_complete
  6: optional TargetReport glance
}

// An error that a node returns in place of a response.
// exact_reason: the reason if earlier releases do not know it; reason is then
// the nearest one that they know.
struct Refusal {
  1: i64 exchange
  2: string outcome
  3: string reason
  4: string detail
  5: i32 retry_after_ms
  6: optional string moved_to
  7: optional TargetReport glance
  8: optional string exact_reason
}

// The state of a node as known to another one. The highest (incarnation,
// refutation, state) wins; state: 0 alive, 1 suspect, 2 dead, 3 left.
struct Member {
  1: string name
  2: i64 incarnation
  3: i32 refutation
  4: i32 state
  5: string address
  6: string region
  7: string zone
}

// A change of a target by its home node. A home's changes are ordered by
// (home_incarnation, sequence). Region and zone are those of the home.
// cold_ms: how long the target was still going to be slow after its start when
// it announced itself to this home.
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
  13: i32 cold_ms
}

// What the fleet knows of a request that has crashed targets. The highest
// (generation, cleared, failed_trials) wins; see decisions/poison_requests.py.
struct SuspectRequest {
  1: binary fingerprint
  2: i32 generation
  3: bool cleared
  4: i32 failed_trials
}

// A change that gossip disseminates. Exactly one field is set; receivers ignore
// fields that they do not know.
struct Change {
  1: optional Member member
  2: optional TargetChange target
  3: optional SuspectRequest suspect
}

// The version of a node's records that the sender has.
struct Version {
  1: string name
  2: i64 incarnation
  3: i32 refutation
  4: i32 state
  5: i64 home_incarnation
  6: i64 sequence
}

// Load and suspicion of a target, pushed by its home node to the entry nodes of
// its zone. suspicion: probability that the target is unhealthy, in
// thousandths.
struct TargetUpdate {
  1: string target
  2: i32 load
  3: i32 suspicion
}

// Retries that requests of one queue priority wanted in the current window.
struct RetryDemand {
  1: i32 level
  2: i32 wanted
}

// An entry node's use of a service's retry budget in the current window.
struct RetryUsage {
  1: string service_name
  2: i32 requests
  3: i32 retries
  // Absent unless the sender gives scarce retries to urgent requests first.
  4: list<RetryDemand> demands
}

// A service and path prefix for which callers outside the fleet send requests
// to the sender. Prefixes that only targets call are not sent.
struct EntryRoute {
  1: string service_name
  2: string prefix
}

// Requests of one queue priority and workspace that arrived at an entry node.
struct ClassDemand {
  1: i32 priority
  2: string workspace
  3: i32 weight
  4: i32 requests
}

// An entry node's demand for a service in the last period_ms. waiting: requests
// that wait for a slot now; oldest_wait_ms: how long the first has waited.
// reused: served requests for whose slot another one waited at the home.
// backlog: the requests that waited there, per slot and in thousandths, summed
// over the served requests. refused: by the level. ended_ms: end of the period
// by the sender's clock; interval_ms: time since its last report.
struct ServiceDemand {
  1: string service_name
  2: i32 period_ms
  3: list<ClassDemand> classes
  4: i32 served
  5: i32 placed
  6: i32 delayed
  7: i32 waiting
  8: i32 oldest_wait_ms
  9: i32 reused
  10: i32 backlog
  11: i32 refused
  12: i64 ended_ms
  13: i32 interval_ms
}

// Admitted share of a workspace's requests of the lowest priority, in
// thousandths.
struct WorkspaceShare {
  1: string workspace
  2: i32 share
}

// The requests for a service that a zone admits. A coordinator numbers its
// levels in ascending order. valid_ms is 0 if the level ends. share: admitted
// share of the requests of lowest_priority, in thousandths.
struct AdmissionLevel {
  1: string service_name
  2: i64 number
  3: i32 valid_ms
  4: i32 lowest_priority
  5: i32 share
  6: list<WorkspaceShare> workspace_shares
  7: i32 retry_after_ms
}

// A UDP datagram of the gossip protocol. Only sender is required.
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
  10: list<TargetUpdate> conditions
  11: list<RetryUsage> tallies
  12: list<EntryRoute> ways
  13: list<ServiceDemand> demands
  14: list<AdmissionLevel> admission_levels
  // Digest of the suspect requests that the sender knows; absent if none.
  15: i32 suspects
}

// The whole state of one home: targets that are not listed no longer exist.
struct HomeState {
  1: string home
  2: i64 incarnation
  3: i64 sequence
  4: list<TargetChange> targets
}

// A target that has announced its departure to its home, and the highest of
// its incarnations that did so.
struct DepartedTarget {
  1: string target
  2: i64 incarnation
}

// A part of the sender's view of the fleet. last marks the end of the response
// to a pull. left lists the departures of targets that earlier incarnations of
// the requesting node have acknowledged.
struct StatePart {
  1: string sender
  2: list<Member> members
  3: list<HomeState> homes
  4: bool last
  5: list<DepartedTarget> left
}

// Requests the records of the named nodes, or of all if names is absent.
struct Pull {
  1: string sender
  2: string address
  3: list<string> names
}

// The version of a configuration object, and the fingerprint of its value.
struct ConfigurationStamp {
  1: string kind
  2: string name
  3: i64 version
  4: i64 fingerprint
}

// A configuration object with its value, compressed.
struct ConfigurationObject {
  1: string kind
  2: string name
  3: i64 version
  4: binary packed
}

// A message of configuration replication; see config/replication.py.
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

// Requests the versions that a node has in force. The response repeats number.
struct ConfigurationAsk {
  1: string sender
  2: i64 number
  3: list<ConfigurationStamp> keys
}

// The versions of objects at a node. known: the highest version received of
// each object. in_force: the version in force, lower if later ones were
// rejected.
struct ConfigurationState {
  1: string sender
  2: i64 number
  3: list<ConfigurationStamp> known
  4: list<ConfigurationStamp> in_force
}

// Requests a node's proof that its configuration was the newest.
struct FreshnessAsk {
}

// A proof of freshness: a version, and how long ago it was the newest one. The
// version is absent if there is no proof. See config/freshness.py.
struct FreshnessState {
  1: i64 version
  2: i32 age_ms
}

// Requests part of a workspace's quota. between: set if the sender owns the
// workspace's bucket in another availability zone, and borrows for it; not set
// if the sender is an entry node that needs tokens. spent: tokens that the
// sender has granted while the owner did not respond, and not reported yet.
struct QuotaAsk {
  1: string workspace
  2: i32 count
  3: bool between
  4: optional i32 spent
}

// The granted part of a quota, as a count of requests, deducted from the
// granting node's share. If it is zero, wait_ms says when to ask again.
struct QuotaGrant {
  1: i32 count
  2: i32 wait_ms
}

// Sent by a home node during an exchange. If heartbeats stop, the connection is
// broken.
struct Heartbeat {
  1: i64 exchange
}

// Requests a part of the bytes that all nodes together may send from one region
// to another. urgency: the queue priority of the most urgent request that needs
// them. bytes is 0 if the sender has become idle.
struct LinkShareAsk {
  1: string from_region
  2: string to_region
  3: i64 bytes
  4: i32 urgency
  5: string sender
}

// The granted bytes, deducted from the owner's before this is sent. wait_ms: the
// time after which the sender may ask again.
struct LinkShareGrant {
  1: i64 bytes
  2: i32 wait_ms
}

// Asks a nearby node for a part of its retry budget for a service, in thousandths
// of a retry.
struct RetryLoanAsk {
  1: string service_name
  2: i32 thousandths
}

// The retries that are lent, deducted from the sender's before this is sent.
struct RetryLoanGrant {
  1: i32 thousandths
}

// Reports to a node that counts the crashes of a request that a target crashed
// while it ran the request, or without a target that one has responded.
// fingerprint: a hash of the request. target: the name and the incarnation.
// age_ms: time since the attempt began. suspect: the later record of a suspect
// request, after a trial or a response; the other fields are absent then.
struct CrashReport {
  1: binary fingerprint
  2: string target
  3: i32 age_ms
  4: optional SuspectRequest suspect
}

// The number of crashes that the sender has counted for the request, and its
// record if it is or was suspect.
struct CrashCount {
  1: i32 count
  2: optional SuspectRequest suspect
}

// Asks a node that counts the crashes of a suspect request for a trial of it.
// number: tells the trial from others. duration_ms: how long it takes at most.
// released: set if the trial was granted and is not made.
struct TrialAsk {
  1: SuspectRequest suspect
  2: i64 number
  3: i32 duration_ms
  4: bool released
}

// Whether the trial may be made, and the sender's record of the request.
struct TrialGrant {
  1: bool granted
  2: optional SuspectRequest suspect
}

// A message on a TCP link. Exactly one field is set.
struct Frame {
  1: optional ForwardedRequest forward
  2: optional BodyChunk chunk
  3: optional Response answer
  4: optional Refusal refusal
  // 5 is reserved: in it, earlier releases announced targets to every node.
  6: optional Heartbeat heartbeat
  20: optional Configuration configuration
  21: optional ConfigurationAsk configuration_ask
  22: optional ConfigurationState configuration_state
  30: optional StatePart fleet_state
  31: optional Pull pull
  // Queries and their responses, which arrive on the same link.
  40: optional FreshnessAsk freshness_ask
  41: optional FreshnessState freshness_state
  42: optional QuotaAsk quota_ask
  43: optional QuotaGrant quota_grant
  44: optional LinkShareAsk link_share_ask
  45: optional LinkShareGrant link_share_grant
  46: optional RetryLoanAsk retry_loan_ask
  47: optional RetryLoanGrant retry_loan_grant
  48: optional CrashReport crash_report
  49: optional CrashCount crash_count
  50: optional TrialAsk trial_ask
  51: optional TrialGrant trial_grant
}
