@0xd1c3a5f0b7e24603;
# Commands of the control group, and its messages to and from zone groups.

# Feed items: the control state as replicated to zone groups and entry
# instances.

struct ContractItem {
  # A contract, either in force or retired.
  customer @0 :Text;
  revision @1 :UInt64;
  document @2 :Text;
  retired @3 :Bool;
}

struct KeyspaceItem {
  # A set of shards shared by all contracts with the same service, zone loss
  # policy and zones.
  keyspace @0 :Text;
  revision @1 :UInt64;
  service @2 :Text;
  zoneLoss @3 :Text;
  zones @4 :List(Text);
  shards @5 :UInt32;
  unavailabilityWeight @6 :Float64;
  churnWeight @7 :Float64;
  imbalanceWeight @8 :Float64;
}

struct DelegationItem {
  # The delegation of consecutive shards of one keyspace to zone groups.
  keyspace @0 :Text;
  revision @1 :UInt64;
  firstShard @2 :UInt32;
  zones @3 :List(Text);
  epochs @4 :List(UInt32);
  groupEpochs @5 :List(UInt32);
  idFloorsMs @6 :List(UInt64);
  releasing @7 :List(Bool);
}

struct InstanceItem {
  # One instance of the system.
  instance @0 :Text;
  revision @1 :UInt64;
  incarnation @2 :UInt64;
  zone @3 :Text;
  roles @4 :List(Text);
  peerAddress @5 :Text;
  callerAddress @6 :Text;
  adminAddress @7 :Text;
  removed @8 :Bool;
}

struct ZoneItem {
  # The consensus group of one availability zone.
  zone @0 :Text;
  revision @1 :UInt64;
  groupEpoch @2 :UInt32;
  founder @3 :Text;
  founderIncarnation @4 :UInt64;
  lost @5 :Bool;
  voters @6 :List(Text);
  voterIncarnations @7 :List(UInt64);
}

struct ServiceHome {
  # The keyspace for the keys of one service of one customer.
  # endedRevision is 0 while the contract has the service.
  customer @0 :Text;
  service @1 :Text;
  keyspace @2 :Text;
  endedRevision @3 :UInt64;
}

# Commands of the control group's log.

struct AcceptContract {
  # Adds or replaces a contract.
  commandId @0 :Text;
  baseRevision @1 :UInt64;
  customer @2 :Text;
  document @3 :Text;
  operator @4 :Text;
  shards @5 :UInt32;
}

struct RetireContract {
  # Retires a contract.
  commandId @0 :Text;
  baseRevision @1 :UInt64;
  customer @2 :Text;
  operator @3 :Text;
}

struct PutInstance {
  # Registers an instance or a new incarnation of it.
  commandId @0 :Text;
  item @1 :InstanceItem;
}

struct FoundZone {
  # Starts the next group epoch of an availability zone, with a new consensus
  # group that the founder bootstraps.
  commandId @0 :Text;
  item @1 :ZoneItem;
}

struct SetDelegations {
  # Delegates shards; each epoch in an item must be the current one plus one.
  commandId @0 :Text;
  items @1 :List(DelegationItem);
}

struct DeclareZoneLost {
  # States that all instances of an availability zone are down permanently.
  commandId @0 :Text;
  zone @1 :Text;
  operator @2 :Text;
}

struct PutZoneVoters {
  # Records the voters of a zone group as reported by its leader.
  zone @0 :Text;
  groupEpoch @1 :UInt32;
  voters @2 :List(Text);
  voterIncarnations @3 :List(UInt64);
}

struct CommandRecord {
  # The stored result of a command, so that a retry gets the same reply.
  commandId @0 :Text;
  digest @1 :Data;
  result @2 :CommandResult;
}

struct ControlSnapshot {
  # Header of a snapshot; followed by the given number of tagged records.
  revision @0 :UInt64;
  floorRevision @1 :UInt64;
  records @2 :UInt64;
}

struct CommandResult {
  # Result of a control command, stored for retries with the same command id.
  ok @0 :Bool;
  revision @1 :UInt64;
  code @2 :Text;
  detail @3 :Text;
}

# Messages.

struct RegisterInstance {
  # Sent by each instance to the control leader after startup, and repeated
  # only while it has no zone leader.
  item @0 :InstanceItem;
}

struct RegisterReply {
  # Reply to RegisterInstance.
  accepted @0 :Bool;
  detail @1 :Text;
  zone @2 :ZoneItem;
  instances @3 :List(InstanceItem);
  wallMs @4 :UInt64;
}

struct ServiceLoad {
  # Capacity and load of one service in one availability zone.
  service @0 :Text;
  slots @1 :UInt32;
  upstreams @2 :UInt32;
  load @3 :Float64;
  unfencedDeadlineMs @4 :UInt32;
}

struct ShardRelease {
  # A shard that a zone group has released under the given epoch, and the
  # largest timestamp of the request ids recorded for it, or 0.
  keyspace @0 :Text;
  shard @1 :UInt32;
  epoch @2 :UInt32;
  lastIdMs @3 :UInt64;
}

struct ZoneBeat {
  # Heartbeat of the zone authority to the control leader, sent every 250 ms.
  zone @0 :Text;
  groupEpoch @1 :UInt32;
  leader @2 :Text;
  leaderIncarnation @3 :UInt64;
  appliedRevision @4 :UInt64;
  services @5 :List(ServiceLoad);
  released @6 :List(ShardRelease);
  groupTerm @7 :UInt64;
  liveInstances @8 :List(Text);
  voters @9 :List(Text);
  voterIncarnations @10 :List(UInt64);
}

struct ZoneBeatReply {
  # Reply to ZoneBeat; items are tagged feed items newer than the revision.
  leaseMs @0 :UInt32;
  wallMs @1 :UInt64;
  revision @2 :UInt64;
  full @3 :Bool;
  items @4 :List(Data);
}

struct SubmitCommand {
  # A tagged command, sent by a follower or a tool to the control leader.
  command @0 :Data;
}

struct LeaderHint {
  # The last known leader and its address.
  instance @0 :Text;
  address @1 :Text;
}
