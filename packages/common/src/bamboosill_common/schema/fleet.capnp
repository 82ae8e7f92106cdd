@0xd1c3a5f0b7e24606;
# Replicated state of routed services and their upstreams, and the messages
# that change or distribute it.

struct TrafficShare {
  # The share of a route's requests that goes to one service.
  service @0 :Text;
  weight @1 :Float64;
}

struct RouteItem {
  # One route: which requests it matches and which services receive them.
  name @0 :Text;
  host @1 :Text;
  pathPrefix @2 :Text;
  idempotent @3 :Bool;
  timeoutMs @4 :UInt32;
  targetLatencyMs @5 :UInt32;
  priority @6 :UInt32;
  maxUpstreams @7 :UInt32;
  service @8 :Text;
  shares @9 :List(TrafficShare);
}

struct ServiceItem {
  # One service: how to connect to its upstreams, and whether keys are assigned
  # to them.
  name @0 :Text;
  healthPath @1 :Text;
  maxConnections @2 :UInt32;
  protocol @3 :Text;
  tls @4 :Bool;
  sharded @5 :Bool;
  keyWarmupMs @6 :UInt32;
  grants @7 :Text;
  # How long upstreams are cold after their start, and the requests a second that
  # all instances together may send to a cold one; 0 for no limit.
  warmupMs @8 :UInt32;
  warmupPerS @9 :Float64;
}

struct CallerLimits {
  # Size limits and timeouts for connections of callers.
  maxHeaderBytes @0 :UInt32;
  maxBodyBytes @1 :UInt32;
  headerTimeoutMs @2 :UInt32;
  idleTimeoutMs @3 :UInt32;
}

struct Configuration {
  # A complete configuration; version 0 stands for no configuration yet.
  version @0 :UInt64;
  routes @1 :List(RouteItem);
  services @2 :List(ServiceItem);
  limits @3 :CallerLimits;
}

struct ChangeConfiguration {
  # Command: changes version `base` of the configuration into `version`.
  # `digest` identifies the operator's change, so that a retry is recognised.
  version @0 :UInt64;
  base @1 :UInt64;
  digest @2 :Data;
  whole @3 :Bool;
  routes @4 :List(RouteItem);
  services @5 :List(ServiceItem);
  removedRoutes @6 :List(Text);
  removedServices @7 :List(Text);
  limits @8 :CallerLimits;
  hasLimits @9 :Bool;
}

struct UpstreamItem {
  # One upstream as it announced itself. `bornMs` is its start time and
  # distinguishes its incarnations.
  upstream @0 :Text;
  bornMs @1 :UInt64;
  address @2 :Text;
  service @3 :Text;
  zone @4 :Text;
  softwareVersion @5 :Text;
  slots @6 :UInt32;
  draining @7 :Bool;
  warmupMs @8 :UInt32;
}

enum EndReason {
  # Why an incarnation ended: missing heartbeats, its own announcement, or a
  # later incarnation.
  silent @0;
  left @1;
  replaced @2;
}

struct UpstreamLife {
  # One incarnation of an upstream that has ended.
  upstream @0 :Text;
  bornMs @1 :UInt64;
  reason @2 :EndReason;
}

struct SetUpstreams {
  # Command: upstreams that were added, changed or removed.
  upstreams @0 :List(UpstreamItem);
  gone @1 :List(UpstreamLife);
}

struct KeyRange {
  # Consecutive keys assigned to one upstream; an empty upstream stands for
  # none.
  first @0 :UInt32;
  last @1 :UInt32;
  fence @2 :UInt64;
  upstream @3 :Text;
  bornMs @4 :UInt64;
  handover @5 :Text;
}

struct SetKeys {
  # Command: reassigns each range whose fence still equals the given one; the
  # log index of the command becomes the new fence of the range.
  service @0 :Text;
  ranges @1 :List(KeyRange);
}

struct ServiceKeys {
  # All key ranges of one service.
  service @0 :Text;
  ranges @1 :List(KeyRange);
}

struct AcceptedOrder {
  # A configuration change of an operator that was accepted.
  version @0 :UInt64;
  digest @1 :Data;
}

struct FleetSnapshot {
  # The complete replicated state.
  revision @0 :UInt64;
  configuration @1 :Configuration;
  orders @2 :List(AcceptedOrder);
  upstreams @3 :List(UpstreamItem);
  gone @4 :List(UpstreamLife);
  keys @5 :List(ServiceKeys);
  crashes @6 :List(UpstreamCrash);
  evacuatedZones @7 :List(Text);
}

struct UpstreamCrash {
  # One crash of an upstream, with the requests that may have caused it.
  upstream @0 :Text;
  bornMs @1 :UInt64;
  atMs @2 :UInt64;
  fingerprints @3 :List(Data);
}

struct RecordCrashes {
  # Command: crashes that entry instances have reported, and fingerprints of
  # suspected requests that an upstream has answered since.
  crashes @0 :List(UpstreamCrash);
  answered @1 :List(Data);
}

struct ReportUpstreamCrash {
  # A crash that an entry instance has seen, sent to the leader, which sets the
  # time.
  crash @0 :UpstreamCrash;
}

struct ReportUpstreamCrashReply {
  # Reply to ReportUpstreamCrash, sent once the crash is recorded.
  reserved @0 :UInt32;
}

struct ReportAnswered {
  # A request that was in flight at a crash and that an upstream has answered
  # since, sent to the leader.
  fingerprint @0 :Data;
}

struct ReportAnsweredReply {
  # Reply to ReportAnswered, sent once it is recorded.
  reserved @0 :UInt32;
}

struct SetEvacuation {
  # Command: whether the upstreams of an availability zone get no requests.
  zone @0 :Text;
  isEvacuated @1 :Bool;
}

struct ChangeEvacuation {
  # An order of an operator, forwarded to the leader.
  zone @0 :Text;
  isEvacuated @1 :Bool;
}

struct ChangeEvacuationReply {
  # Reply to ChangeEvacuation, sent once the order is committed.
  reserved @0 :UInt32;
}

struct KeyWork {
  # Load caused by one block of keys, in milliseconds of upstream time.
  service @0 :Text;
  block @1 :UInt32;
  workMs @2 :UInt32;
}

struct UpstreamPace {
  # How slow an upstream was relative to the mean of its service, measured over
  # responses that usually take `usualMs` in total. `utilisation` is not
  # used.
  upstream @0 :Text;
  pace @1 :Float32;
  usualMs @2 :Float32;
  utilisation @3 :UInt8;
}

struct UpstreamLoad {
  # Number of running and queued requests that an upstream last reported, or
  # whether it did not respond.
  upstream @0 :Text;
  requests @1 :UInt16;
  isSilent @2 :Bool;
}

struct Follow {
  # Request of an entry instance for all commands after `revision`, with its
  # load measurements.
  revision @0 :UInt64;
  instance @1 :Text;
  works @2 :List(KeyWork);
  paces @3 :List(UpstreamPace);
  loads @4 :List(UpstreamLoad);
  # Whether the sender supports `FollowReply.packed`.
  takesPacked @5 :Bool;
  # Whether the sender reaches no upstream, and the version of the list of
  # instances that it can forward requests to.
  isCutOff @6 :Bool;
  forwardersVersion @7 :UInt64;
}

struct RevisedCommand {
  # A command and its index in the log.
  revision @0 :UInt64;
  command @1 :Data;
}

struct RevisedCommands {
  # Several commands, in order.
  commands @0 :List(RevisedCommand);
}

struct EntryAddress {
  # Peer address of an entry instance and its availability zone.
  address @0 :Text;
  zone @1 :Text;
}

struct FollowReply {
  # Reply to Follow; a non-empty `snapshot` replaces the state.
  revision @0 :UInt64;
  snapshot @1 :Data;
  commands @2 :List(RevisedCommand);
  entryCount @3 :UInt32;
  controlPeers @4 :List(Text);
  # One byte per upstream in the state of `revision`, in the order of ids; 255
  # for an upstream that does not respond to any entry instance.
  loads @5 :Data;
  # Paces in the same order, on a logarithmic scale; 0 if unknown.
  paces @6 :Data;
  # Used instead of `commands`: a RevisedCommands message, compressed with zlib.
  packed @7 :Data;
  # Rate limits that upstreams state, and those that ended recently.
  limits @8 :List(UpstreamLimit);
  # Sent if the version is another one than that of the request: entry instances
  # that take forwarded requests.
  forwarders @9 :List(EntryAddress);
  forwardersVersion @10 :UInt64;
  # Not used.
  slotShares @11 :Data;
  # Control instances of the zone of the entry instance that it can poll instead
  # of the leader, and, in the reply of such an instance, the leader's address.
  relays @12 :List(Text);
  leader @13 :Text;
}

struct Polls {
  # Polls of entry instances that a relay has answered.
  polls @0 :List(Follow);
}

struct RelayPolls {
  # Sent by a control instance that answers polls of its zone to the leader:
  # a Polls message, compressed with zlib.
  relay @0 :Text;
  packed @1 :Data;
  forwardersVersion @2 :UInt64;
}

struct RelayPollsReply {
  # Reply to RelayPolls: what the leader adds to the replicated state, as in
  # FollowReply, in the order of the upstreams of `revision`.
  revision @0 :UInt64;
  entryCount @1 :UInt32;
  loads @2 :Data;
  paces @3 :Data;
  slotShares @4 :Data;
  limits @5 :List(UpstreamLimit);
  forwarders @6 :List(EntryAddress);
  forwardersVersion @7 :UInt64;
}

struct UpstreamLimit {
  # Requests a second that one incarnation of an upstream takes from all
  # instances together; a negative rate stands for no limit. `ageMs` is the time
  # since it was observed in a response.
  upstream @0 :Text;
  bornMs @1 :UInt64;
  ratePerS @2 :Float64;
  ageMs @3 :UInt32;
  # Time for which the upstream stays cold; 0 if it is not.
  coldMs @4 :UInt32;
}

struct AcquirePermits {
  # Request of an entry instance for permits to send to an upstream with a rate
  # limit. With `wanted` 0, it only reports the limit.
  instance @0 :Text;
  limit @1 :UpstreamLimit;
  wanted @2 :UInt32;
}

struct AcquirePermitsReply {
  # Reply to AcquirePermits, with the newest limit that the leader knows.
  limit @0 :UpstreamLimit;
  granted @1 :UInt32;
  # Time until the next permit that no refused caller of any instance was told, and
  # until this instance should ask again.
  nextPermitMs @2 :UInt32;
  askAgainMs @3 :UInt32;
  # Number of permits, from the next one on, that this instance may tell callers.
  tellable @4 :UInt32;
}

struct ReleasedRange {
  # Keys that an upstream has released, with its handover data for the next
  # upstream.
  first @0 :UInt32;
  last @1 :UInt32;
  handover @2 :Text;
}

struct UpstreamReport {
  # A heartbeat of an upstream, forwarded to the leader.
  item @0 :UpstreamItem;
  sequence @1 :UInt64;
  holds @2 :List(KeyRange);
  released @3 :List(ReleasedRange);
}

struct ReportReply {
  # Reply to UpstreamReport; `grants` are the upstream's key ranges.
  accepted @0 :Bool;
  reason @1 :Text;
  renewed @2 :Bool;
  leaseMs @3 :UInt32;
  grants @4 :List(KeyRange);
}

struct UpstreamLeave {
  # Announcement of an upstream that it shuts down, forwarded to the leader.
  life @0 :UpstreamLife;
}

struct SubmitChange {
  # A configuration change of an operator, forwarded to the leader.
  change @0 :ChangeConfiguration;
}

struct SubmitReply {
  # Reply to SubmitChange.
  outcome @0 :Text;
  version @1 :UInt64;
  detail @2 :Text;
}

struct ReadConfiguration {
  # Request for the latest configuration, forwarded to the leader.
  reserved @0 :UInt32;
}

struct ConfigurationReply {
  # Reply to ReadConfiguration.
  configuration @0 :Configuration;
}

struct JoinControl {
  # Request of a control instance to become a member of the control group.
  instance @0 :Text;
  incarnation @1 :UInt64;
  address @2 :Text;
}

struct JoinControlReply {
  # Reply to JoinControl.
  member @0 :Bool;
}
