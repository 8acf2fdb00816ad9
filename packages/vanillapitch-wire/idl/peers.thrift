// Calls between daemons about members and tables.

// Members travel as a MemberList of gossip.thrift, in compact encoding and zlib.
struct DigestsReply {
  1: required list<i16> buckets;         // buckets that differ and are complete here
  2: required binary members;
  3: required bool is_truncated;         // more buckets differ
  4: required i64 revision;              // tables revision in force at the peer
}

// Empty document: the peer has no tables of at least the wanted revision.
struct TablesReply {
  1: required i64 revision;
  2: required binary document;
}

service Peers {
  DigestsReply sync_digests(1: binary digests);
  void sync_differences(1: binary members);
  TablesReply fetch_tables(1: i64 min_revision);
}
