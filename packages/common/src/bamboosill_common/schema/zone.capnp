@0xd1c3a5f0b7e24604;
# Commands of a zone group, and messages within an availability zone.

struct Upstream {
  # One upstream server as it announced itself.
  id @0 :Text;
  incarnation @1 :UInt64;
  service @2 :Text;
  zone @3 :Text;
  address @4 :Text;
  slots @5 :UInt32;
  connections @6 :UInt32;
  checksFences @7 :Bool;
  acceptsCancellation @8 :Bool;
  acceptsDeadlines @9 :Bool;
  state @10 :Text;
}

# Commands of the zone group's log.

struct ApplyFeed {
  # Applies feed items of the control state.
  revision @0 :UInt64;
  full @1 :Bool;
  items @2 :List(Data);
}

struct PutUpstream {
  # Registers an upstream, or updates its incarnation or state.
  upstream @0 :Upstream;
}

struct DropUpstream {
  # Removes an upstream whose grants have expired.
  id @0 :Text;
  incarnation @1 :UInt64;
  reason @2 :Text;
}

struct BeginMove {
  # Revokes shards from their owners and reserves them for the target; the log
  # index of the command determines the new fence.
  keyspace @0 :Text;
  shards @1 :List(UInt32);
  target @2 :Text;
  targetIncarnation @3 :UInt64;
  reason @4 :Text;
  key @5 :Text;
}

struct FinishMove {
  # Makes the target of a move the owner of the shards.
  keyspace @0 :Text;
  shards @1 :List(UInt32);
  fence @2 :UInt64;
  key @3 :Text;
}

struct ReleaseShards {
  # Returns shards to the control group.
  keyspace @0 :Text;
  shards @1 :List(UInt32);
  epoch @2 :UInt32;
}

struct BeginRequest {
  # Records a non-repeatable request before it is dispatched.
  id @0 :Text;
  customer @1 :Text;
  fingerprint @2 :Data;
  keyspace @3 :Text;
  shard @4 :UInt32;
  instance @5 :Text;
  incarnation @6 :UInt64;
  nowMs @7 :UInt64;
}

struct FinishRequest {
  # Records the response to a non-repeatable request.
  id @0 :Text;
  customer @1 :Text;
  status @2 :UInt16;
  body @3 :Data;
  contentType @4 :Text;
  stored @5 :Bool;
  outcome @6 :Text;
}

struct AbandonRequest {
  # Removes the record of a request that is known not to have run.
  id @0 :Text;
  customer @1 :Text;
  fingerprint @2 :Data;
  token @3 :UInt64;
}

struct ReportCrash {
  # Reports the requests that were in flight at an upstream when it crashed.
  upstream @0 :Text;
  incarnation @1 :UInt64;
  fingerprints @2 :List(Data);
  nowMs @3 :UInt64;
}

struct RecordStatus {
  # Result of BeginRequest.
  status @0 :Text;
  httpStatus @1 :UInt16;
  body @2 :Data;
  contentType @3 :Text;
  stored @4 :Bool;
  detail @5 :Text;
  token @6 :UInt64;
}

struct CommandStatus {
  # Result of all other commands; shards lists the changed shards.
  ok @0 :Bool;
  code @1 :Text;
  fence @2 :UInt64;
  shards @3 :List(UInt32);
}

# Snapshots.

struct AssignmentItem {
  # The assignment of one shard, or of one hot key of it.
  keyspace @0 :Text;
  shard @1 :UInt32;
  key @2 :Text;
  epoch @3 :UInt32;
  owner @4 :Text;
  ownerIncarnation @5 :UInt64;
  fence @6 :UInt64;
  moving @7 :Bool;
  target @8 :Text;
  targetIncarnation @9 :UInt64;
  targetFence @10 :UInt64;
}

struct ReleasedItem {
  # A shard that was returned to the control group under an epoch.
  keyspace @0 :Text;
  shard @1 :UInt32;
  epoch @2 :UInt32;
  lastIdMs @3 :UInt64;
}

struct LastIdItem {
  # The largest timestamp of the request ids recorded for a shard.
  keyspace @0 :Text;
  shard @1 :UInt32;
  lastIdMs @2 :UInt64;
}

struct RecordItem {
  # The record of one non-repeatable request.
  id @0 :Text;
  customer @1 :Text;
  fingerprint @2 :Data;
  instance @3 :Text;
  incarnation @4 :UInt64;
  token @5 :UInt64;
  state @6 :Text;
  httpStatus @7 :UInt16;
  body @8 :Data;
  contentType @9 :Text;
  stored @10 :Bool;
}

struct CrashItem {
  # One crash of an upstream, with the requests that were in flight there.
  upstream @0 :Text;
  incarnation @1 :UInt64;
  atMs @2 :UInt64;
  fingerprints @3 :List(Data);
}

struct SnapshotPart {
  # One part of a snapshot of a zone group. Fields that are not lists are set in
  # the first part only.
  revision @0 :UInt64;
  nowMs @1 :UInt64;
  feed @2 :List(Data);
  upstreams @3 :List(Upstream);
  formerUpstreams @4 :List(Upstream);
  assignments @5 :List(AssignmentItem);
  released @6 :List(ReleasedItem);
  records @7 :List(RecordItem);
  crashes @8 :List(CrashItem);
  lastIds @9 :List(LastIdItem);
}

# Messages.

struct Join {
  # Request to the zone leader to add the sender to the group.
  group @0 :Text;
  instance @1 :Text;
  incarnation @2 :UInt64;
  address @3 :Text;
}

struct JoinReply {
  # Reply to Join; leaderAddress is set if the receiver is not the leader.
  accepted @0 :Bool;
  leaderAddress @1 :Text;
}

struct DrainedShard {
  # States that no request for this shard is in flight to its former owner.
  keyspace @0 :Text;
  shard @1 :UInt32;
  fence @2 :UInt64;
  key @3 :Text;
}

struct InFlight {
  # The maximum time that requests for a shard may remain in flight.
  keyspace @0 :Text;
  shard @1 :UInt32;
  upstream @2 :Text;
  remainingMs @3 :UInt32;
  key @4 :Text;
}

struct Demand {
  # Demand of one customer for one service at one entry instance since its last
  # report.
  customer @0 :Text;
  service @1 :Text;
  ratePerS @2 :Float64;
  concurrency @3 :Float64;
  refusedPerS @4 :Float64;
}

struct Share {
  # The share of a customer's limits that is allotted to one entry instance.
  customer @0 :Text;
  service @1 :Text;
  ratePerS @2 :Float64;
  burst @3 :Float64;
  concurrency @4 :Float64;
}

struct UpstreamView {
  # Measurements of an upstream by one entry instance.
  id @0 :Text;
  inFlight @1 :UInt32;
  latencyMs @2 :Float64;
  refusals @3 :UInt32;
  completions @4 :UInt32;
  failures @5 :UInt32;
}

struct ShardLoad {
  # Request rate of one shard, or of one hot key in it.
  keyspace @0 :Text;
  shard @1 :UInt32;
  ratePerS @2 :Float64;
  key @3 :Text;
}

struct RenewLease {
  # Sent by each entry instance to the zone leader every 250 ms.
  group @0 :Text;
  instance @1 :Text;
  incarnation @2 :UInt64;
  appliedIndex @3 :UInt64;
  drained @4 :List(DrainedShard);
  inFlight @5 :List(InFlight);
  demand @6 :List(Demand);
  upstreams @7 :List(UpstreamView);
  shardLoad @8 :List(ShardLoad);
  sameLoad @9 :Bool;
}

struct LeaseReply {
  # Reply to RenewLease.
  granted @0 :Bool;
  leaseMs @1 :UInt32;
  lapseLeaseMs @2 :UInt32;
  leaderAddress @3 :Text;
  shares @4 :List(Share);
  wallMs @5 :UInt64;
  commitIndex @6 :UInt64;
}

struct Grant {
  # A fenced grant of one shard, or of one hot key, to an upstream.
  keyspace @0 :Text;
  shard @1 :UInt32;
  fence @2 :UInt64;
  key @3 :Text;
}

struct UpstreamBeat {
  # A heartbeat of an upstream, forwarded by an entry instance.
  group @0 :Text;
  id @1 :Text;
  incarnation @2 :UInt64;
  state @3 :Text;
  inFlight @4 :UInt32;
  queue @5 :UInt32;
  latencyMs @6 :Float64;
  grantsVersion @7 :UInt64;
}

struct UpstreamBeatReply {
  # Reply to UpstreamBeat.
  code @0 :Text;
  leaseMs @1 :UInt32;
  grantsVersion @2 :UInt64;
  unchanged @3 :Bool;
  grants @4 :List(Grant);
  leaderAddress @5 :Text;
  lapseLeaseMs @6 :UInt32;
}

struct ProposeCommand {
  # A tagged command that a member forwards to the leader of its group.
  group @0 :Text;
  command @1 :Data;
}

struct ProposeReply {
  # Reply to ProposeCommand; result is a tagged message or empty.
  ok @0 :Bool;
  code @1 :Text;
  index @2 :UInt64;
  result @3 :Data;
  leaderAddress @4 :Text;
}

struct Explain {
  # Request to the zone leader for the state of one key.
  keyspace @0 :Text;
  shard @1 :UInt32;
  key @2 :Text;
}

struct ExplainReply {
  # Reply to Explain, as a JSON document.
  document @0 :Text;
}
