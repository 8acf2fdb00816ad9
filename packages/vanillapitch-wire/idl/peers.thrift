// Calls between daemons about members and tables.

include "gossip.thrift"

struct MemberList {
  1: required list<gossip.Member> members;
}

struct DigestsReply {
  1: required list<i16> buckets;         // buckets that differ and are complete here
  2: required binary members;            // MemberList, compact encoding, zlib
  3: required list<gossip.Strike> strikes;
  4: required bool is_truncated;         // more buckets differ
  5: required i64 revision;
}

// Empty document: the peer has no tables of at least the wanted revision.
struct TablesReply {
  1: required i64 revision;
  2: required binary document;
}

service Peers {
  DigestsReply sync_digests(1: string sender, 2: binary digests);
  void sync_differences(1: string sender, 2: binary members);
  TablesReply fetch_tables(1: i64 min_revision);
}
