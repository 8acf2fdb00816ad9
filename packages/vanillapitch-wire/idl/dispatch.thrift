// Calls from an ingress daemon to the daemon that owns an endpoint.

struct Header {
  1: required string name;
  2: required string value;
}

// Load of an endpoint, sent with every reply.
struct LoadReport {
  1: required i32 in_flight;
  2: required i32 limit;
  3: required string state;       // cold, ready, leaving, down
  4: required double latency_ms;  // moving average of backend latency
  5: required i64 revision;       // tables revision in force at the owner
}

struct DispatchRequest {
  1: required string request_id;
  2: required string pool;
  3: required string method;
  4: required string target;      // path with query
  5: required list<Header> headers;
  6: required binary body;
  7: required i32 remaining_ms;
  8: required i32 attempt;
  9: required i32 priority;
  10: required bool idempotent;
  11: required i64 revision;      // tables revision that routed the request
}

// A reply carries either a response (status above zero) or a refusal code.
struct DispatchReply {
  1: required string request_id;
  2: required i32 status;
  3: required list<Header> headers;
  4: required binary body;
  5: required string refusal_code;
  6: required string outcome;
  7: required string detail;
  8: required LoadReport report;
  9: required string instance;
}

service Owner {
  DispatchReply dispatch(1: DispatchRequest request);
}
