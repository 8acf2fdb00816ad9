// Calls to the committer and to the holder of claims of keyed requests.

struct ClaimChangeMessage {
  1: required string kind;          // create, finish, release
  2: required string store_key;
  3: required binary expected;
  4: required binary value;
}

struct CommitRequest {
  1: required list<ClaimChangeMessage> changes;
  2: required i32 remaining_ms;     // changes not sent to the store in time have no effect
}

struct ChangeOutcomeMessage {
  1: required string status;        // applied, taken, no_effect, not_seen, lost
  2: required binary current;
}

// Outcomes in the order of the changes. When is_busy is set, the list is empty and no
// change had an effect.
struct CommitReply {
  1: required bool is_busy;
  2: required list<ChangeOutcomeMessage> outcomes;
}

struct AwaitRequest {
  1: required string holder;        // instance; another incarnation of it responds "gone"
  2: required string claim_id;
  3: required i32 wait_ms;
}

struct AwaitReply {
  1: required string statement;     // running, ended, not_run, gone
  2: required string state;         // done or unknown, when ended
  3: optional binary result;        // the result in its stored form
}

service Claims {
  CommitReply commit_claims(1: CommitRequest request);
  AwaitReply await_result(1: AwaitRequest request);
}
