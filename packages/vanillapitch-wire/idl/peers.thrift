// Calls that exchange members and tables between daemons.

// Members travel as a MemberList of gossip.thrift, in compact encoding and zlib.
struct DigestsReply {
  1: required list<i16> buckets;         // buckets that differ; members holds all their records
  2: required binary members;
  3: required bool is_truncated;         // more buckets differ
  4: required i64 revision;              // tables revision in force at the peer
}

// The document is empty if the peer has no tables of at least min_revision.
struct TablesReply {
  1: required i64 revision;
  2: required binary document;
}

service Peers {
  DigestsReply sync_digests(1: binary digests);
  void sync_differences(1: binary members);
  TablesReply fetch_tables(1: i64 min_revision);
}
