// Frames between daemons that run a single event loop. One TCP connection carries many
// concurrent calls from an ingress to the owner of an endpoint. Each frame is one
// message of this file.

struct HeaderField {
  1: required string name;
  2: required string value;
}

// Address and zone of a daemon, and the service of its endpoint.
struct MemberInfo {
  1: required string node;
  2: required string address;     // of the peer listener, host:port
  3: required string service_name;
  4: required string zone;
  5: required bool introducer;    // whether it is listed in the store
}

// State of the owner's endpoint at the time of sending.
struct EndpointReport {
  1: required string state;       // ready, cold, failing, leaving, down, zone_out, unknown
  2: required string instance;
  3: required i32 in_flight;
  4: required i32 waiting;
  5: required i32 limit;
  6: required i32 speed_percent;  // 100: typical duration of work; 400: four times that
  7: required i32 failure_percent;
  8: required i64 revision;       // store revision of the last configuration change
  9: required double latency_ms;  // moving average of the endpoint's execution time
}

struct Strike {
  1: required string id;
  2: required string fingerprint;
  3: required i32 age_ms;
}

struct Hello {
  1: required i32 protocol;
  2: required MemberInfo member;
  3: required EndpointReport report;
  4: required list<Strike> strikes;
  5: required bool store_reachable; // whether the store answered the sender's last call
}

struct Call {
  1: required i64 id;
  2: required string request_id;
  3: required string service_name;
  4: required string method;
  5: required string target;      // path with query
  6: required list<HeaderField> headers;
  7: required binary body;
  8: required i32 remaining_ms;   // time until the deadline
  9: required i32 objective_ms;   // rest of the latency objective; may be negative
  10: required i32 priority;      // 0: highest of a route; -1: sent by an executing request
  11: required bool idempotent;
  12: required string fingerprint;
  13: required string route_name;
  14: required bool has_alternative; // whether the ingress would try another owner
}

struct Reply {
  1: required i64 id;
  2: required string ending;      // answered, refused, rejected, failed
  3: required string reason;
  4: required i32 status;
  5: required string phrase;
  6: required list<HeaderField> headers;
  7: required binary body;
  8: required EndpointReport report;
}

struct Cancel {
  1: required i64 id;
}

struct Ping {
  1: required i64 number;
  2: required i64 revision;
}

struct Pong {
  1: required i64 number;
  2: required EndpointReport report;
  3: required bool store_reachable;
}

struct SnapshotRequest {
  1: required i64 newer_than;
}

// Configuration and zones out of service, as the store had them at a revision.
struct Snapshot {
  1: required i64 read_revision;
  2: required i64 changed_revision;
  3: required binary configuration;   // zlib; empty when none was written yet
  4: required list<string> zones_out;
}

// Asks for the members that the receiver reaches, now and whenever it learns of more.
struct MembersRequest {
}

struct Members {
  1: required list<MemberInfo> members;
}

// An acknowledged departure of an endpoint. Its daemon sends it to others, which return it
// to the next process on that VM.
struct Departure {
  1: required string node;        // daemon of the endpoint
  2: required string instance;
  3: required i64 born_ms;        // wall time of the endpoint's start; -1: unknown
  4: required i64 stored_ms;      // wall time of the acknowledgement
}

// Exactly one field is set.
struct Frame {
  1: optional Hello hello;
  2: optional Call call;
  3: optional Reply reply;
  4: optional Cancel cancel;
  5: optional Ping ping;
  6: optional Pong pong;
  7: optional EndpointReport report;
  8: optional SnapshotRequest snapshot_request;
  9: optional Snapshot snapshot;
  10: optional Strike strike;
  11: optional MembersRequest members_request;
  12: optional Members members;
  13: optional Departure departure;
}
