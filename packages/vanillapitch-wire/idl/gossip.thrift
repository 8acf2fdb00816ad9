// Membership messages over UDP: an HMAC-SHA256 followed by the compact encoding.

struct Member {
  1: required string instance;
  2: required string zone;
  3: required string region;
  4: required string service_name;
  5: required string inner_address;
  6: required string gossip_address;
  7: required i8 state;           // position in MemberState
  8: required i64 version;
  9: required i32 slots;
}

// Short form of a member, for receivers that have its record.
struct MemberStatus {
  1: required binary key;           // first 8 bytes of the instance's BLAKE2b digest
  2: required i64 version;
  3: required i8 state;
  4: optional binary accusers;      // 4 bytes each
}

struct Strike {
  1: required string fingerprint;
  2: required string strike_id;
  3: required i64 at_ms;
}

struct Gossip {
  1: required i8 kind;            // value of MessageKind
  2: required i64 sequence;
  3: required i64 sent_at_ms;       // wall time; limits the age of the message
  4: required string sender;
  5: required i64 sender_version;
  6: required i8 sender_state;
  7: required i64 revision;         // tables revision in force at the sender
  8: optional string target;
  9: optional string target_address;
  10: optional list<Member> members;
  11: optional list<MemberStatus> statuses;
  12: optional list<Strike> strikes;
}

// Content of an anti-entropy exchange.
struct MemberList {
  1: required list<Member> members;
  2: required list<Strike> strikes;
}
