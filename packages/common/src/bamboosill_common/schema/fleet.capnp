@0xd1c3a5f0b7e24606;
# Replicated state of a fleet of routed services, and the messages with it.

struct TrafficShare {
  # The part of a route's requests that one service gets.
  service @0 :Text;
  weight @1 :Float64;
}

struct RouteItem {
  # One route: which requests it takes and where they go.
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
  # One service: how its upstreams are reached and whether they hold keys.
  name @0 :Text;
  healthPath @1 :Text;
  maxConnections @2 :UInt32;
  protocol @3 :Text;
  tls @4 :Bool;
  sharded @5 :Bool;
  keyWarmupMs @6 :UInt32;
  grants @7 :Text;
}

struct CallerLimits {
  # What a caller may send, and how long it may take or stay idle.
  maxHeaderBytes @0 :UInt32;
  maxBodyBytes @1 :UInt32;
  headerTimeoutMs @2 :UInt32;
  idleTimeoutMs @3 :UInt32;
}

struct Configuration {
  # A complete configuration; version 0 means that there is none yet.
  version @0 :UInt64;
  routes @1 :List(RouteItem);
  services @2 :List(ServiceItem);
  limits @3 :CallerLimits;
}

struct ChangeConfiguration {
  # Command: a new version on top of `base`. `digest` identifies the order.
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
  # One upstream as it announced itself. `bornMs` tells its lives apart.
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
  # How a life ended: no heartbeats, its own word, or a later life in its place.
  silent @0;
  left @1;
  replaced @2;
}

struct UpstreamLife {
  # One life of an upstream that is gone.
  upstream @0 :Text;
  bornMs @1 :UInt64;
  reason @2 :EndReason;
}

struct SetUpstreams {
  # Command: upstreams that were added, changed or are gone.
  upstreams @0 :List(UpstreamItem);
  gone @1 :List(UpstreamLife);
}

struct KeyRange {
  # Consecutive keys with one holder; an empty upstream means none.
  first @0 :UInt32;
  last @1 :UInt32;
  fence @2 :UInt64;
  upstream @3 :Text;
  bornMs @4 :UInt64;
  handover @5 :Text;
}

struct SetKeys {
  # Command: new holders of ranges whose fence is still the stated one; the
  # log index of the command becomes their new fence.
  service @0 :Text;
  ranges @1 :List(KeyRange);
}

struct ServiceKeys {
  # All ranges of one service.
  service @0 :Text;
  ranges @1 :List(KeyRange);
}

struct AcceptedOrder {
  # An order of an operator that was accepted.
  version @0 :UInt64;
  digest @1 :Data;
}

struct FleetSnapshot {
  # The whole state of a fleet.
  revision @0 :UInt64;
  configuration @1 :Configuration;
  orders @2 :List(AcceptedOrder);
  upstreams @3 :List(UpstreamItem);
  gone @4 :List(UpstreamLife);
  keys @5 :List(ServiceKeys);
}

struct KeyWork {
  # Work that one block of keys caused, in milliseconds of its upstream.
  service @0 :Text;
  block @1 :UInt32;
  workMs @2 :UInt32;
}

struct UpstreamPace {
  # How slow an upstream was, relative to the mean of its service, over answers
  # that usually take `usualMs` together.
  upstream @0 :Text;
  pace @1 :Float32;
  usualMs @2 :Float32;
}

struct UpstreamLoad {
  # Requests that an upstream ran or had waiting, as it reported last, or
  # that it did not answer.
  upstream @0 :Text;
  requests @1 :UInt16;
  isSilent @2 :Bool;
}

struct Follow {
  # Request of an entry instance for all commands after `revision`.
  revision @0 :UInt64;
  instance @1 :Text;
  works @2 :List(KeyWork);
  paces @3 :List(UpstreamPace);
  loads @4 :List(UpstreamLoad);
  # Whether `packed` is understood.
  takesPacked @5 :Bool;
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

struct FollowReply {
  # Answer to Follow; `snapshot` replaces the state if it is not empty.
  revision @0 :UInt64;
  snapshot @1 :Data;
  commands @2 :List(RevisedCommand);
  entryCount @3 :UInt32;
  controlPeers @4 :List(Text);
  # One byte for each upstream of `revision`, in the order of their ids; 255
  # for one that answers nobody.
  loads @5 :Data;
  # Paces in the same order, on a logarithmic scale; 0 for an unknown one.
  paces @6 :Data;
  # Takes the place of `commands`: a RevisedCommands, compressed with zlib.
  packed @7 :Data;
}

struct ReleasedRange {
  # Keys that an upstream no longer holds, and what it handed over.
  first @0 :UInt32;
  last @1 :UInt32;
  handover @2 :Text;
}

struct UpstreamReport {
  # A heartbeat of an upstream, passed to the leader.
  item @0 :UpstreamItem;
  sequence @1 :UInt64;
  holds @2 :List(KeyRange);
  released @3 :List(ReleasedRange);
}

struct ReportReply {
  # Answer to UpstreamReport: `grants` is what the upstream is to hold.
  accepted @0 :Bool;
  reason @1 :Text;
  renewed @2 :Bool;
  leaseMs @3 :UInt32;
  grants @4 :List(KeyRange);
}

struct UpstreamLeave {
  # An upstream says that it ends.
  life @0 :UpstreamLife;
}

struct SubmitChange {
  # An operator's change, passed to the leader.
  change @0 :ChangeConfiguration;
}

struct SubmitReply {
  # Answer to SubmitChange.
  outcome @0 :Text;
  version @1 :UInt64;
  detail @2 :Text;
}

struct ReadConfiguration {
  # Request for the newest configuration, passed to the leader.
  reserved @0 :UInt32;
}

struct ConfigurationReply {
  # Answer to ReadConfiguration.
  configuration @0 :Configuration;
}

struct JoinControl {
  # A control instance asks to become a member of the control group.
  instance @0 :Text;
  incarnation @1 :UInt64;
  address @2 :Text;
}

struct JoinControlReply {
  # Answer to JoinControl.
  member @0 :Bool;
}
