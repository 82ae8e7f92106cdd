@0xd1c3a5f0b7e24602;
# Messages between the members of a consensus group, and its stored records.

struct Member {
  # One member of a group. An instance without persistent storage becomes a new
  # member, with a new incarnation, when it restarts.
  instance @0 :Text;
  incarnation @1 :UInt64;
  address @2 :Text;
  voter @3 :Bool;
}

struct Membership {
  # All members of a group.
  members @0 :List(Member);
}

enum EntryKind {
  command @0;
  membership @1;
  barrier @2;
}

struct LogEntry {
  # One entry of the replicated log.
  index @0 :UInt64;
  term @1 :UInt64;
  kind @2 :EntryKind;
  data @3 :Data;
}

struct HardState {
  # Consensus state that a member must not lose.
  term @0 :UInt64;
  votedFor @1 :Text;
}

struct RequestVote {
  # Requests a vote or, with preVote set, a pre-vote.
  group @0 :Text;
  term @1 :UInt64;
  candidate @2 :Member;
  lastIndex @3 :UInt64;
  lastTerm @4 :UInt64;
  preVote @5 :Bool;
  target @6 :Member;
}

struct VoteReply {
  # Reply to RequestVote.
  term @0 :UInt64;
  granted @1 :Bool;
}

struct AppendEntries {
  # Log entries or a heartbeat from the leader.
  group @0 :Text;
  term @1 :UInt64;
  leader @2 :Member;
  prevIndex @3 :UInt64;
  prevTerm @4 :UInt64;
  commit @5 :UInt64;
  entries @6 :List(LogEntry);
  target @7 :Member;
}

struct AppendReply {
  # Reply to AppendEntries and InstallSnapshot.
  term @0 :UInt64;
  success @1 :Bool;
  matchIndex @2 :UInt64;
}

struct InstallSnapshot {
  # One chunk of a snapshot for a member whose log is too far behind.
  group @0 :Text;
  term @1 :UInt64;
  leader @2 :Member;
  lastIndex @3 :UInt64;
  lastTerm @4 :UInt64;
  membership @5 :Membership;
  offset @6 :UInt64;
  data @7 :Data;
  done @8 :Bool;
  target @9 :Member;
}

struct StorageIdentity {
  # Owner of a data folder.
  group @0 :Text;
  instance @1 :Text;
  incarnation @2 :UInt64;
}

struct SegmentHeader {
  # First record of a segment of the write-ahead log.
  number @0 :UInt64;
  sizeBytes @1 :UInt64;
  firstSequence @2 :UInt64;
  fresh @3 :Bool;
  baseIndex @4 :UInt64;
  baseTerm @5 :UInt64;
}

struct LogRecord {
  # Records of the write-ahead log that were synced to disk together.
  hardState @0 :HardState;
  entries @1 :List(LogEntry);
}

struct SnapshotHeader {
  # First record of a snapshot file; the snapshot data follows it.
  lastIndex @0 :UInt64;
  lastTerm @1 :UInt64;
  membership @2 :Membership;
  sizeBytes @3 :UInt64;
  checksum @4 :UInt64;
}
