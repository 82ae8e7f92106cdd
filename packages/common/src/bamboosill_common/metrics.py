"""Prometheus metrics of an instance; docs/metrics.md describes each one.

Label values come from small fixed sets. Keys, request ids and customers are
never labels, because the number of their values is unbounded.
"""

import prometheus_client

# From a fast cache hit to the default maximum deadline.
_DURATION_BUCKETS_S = (
    *(0.001, 0.0025, 0.005, 0.011, 0.025, 0.05, 0.1, 0.25, 0.5),
    *(1.0, 2.5, 5.0, 10.0, 30.0),
)
_FILE_SYNC_BUCKETS_S = (
    0.0005,
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.1,
    0.5,
    2.0,
)
_SNAPSHOT_BUCKETS_S = (0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 1.0)

# Instance.
instance_ready = prometheus_client.Gauge(
    "bamboosill_instance_ready", "1 while /readyz says ready."
)
clock_skew = prometheus_client.Gauge(
    "bamboosill_clock_skew_seconds", "Own wall clock minus control's."
)

# Entry role.
answers = prometheus_client.Counter(
    "bamboosill_entry_answers_total",
    "Answers to callers by outcome, reason and class.",
    ["outcome", "reason", "class"],
)
request_duration = prometheus_client.Histogram(
    "bamboosill_entry_request_duration_seconds",
    "Time from a request's head to the end of its answer, by class.",
    ["class"],
    buckets=_DURATION_BUCKETS_S,
)
requests_in_flight = prometheus_client.Gauge(
    "bamboosill_entry_requests_in_flight", "Requests of callers in progress."
)
admission_refusals = prometheus_client.Counter(
    "bamboosill_entry_admission_refusals_total",
    "Requests refused by a contract's limits or by an upstream's queue.",
    ["stage", "reason"],
)
queue_wait = prometheus_client.Histogram(
    "bamboosill_entry_queue_wait_seconds",
    "Time that admitted requests waited, for their contract or an upstream.",
    ["stage"],
    buckets=_DURATION_BUCKETS_S,
)
retries = prometheus_client.Counter(
    "bamboosill_entry_retries_total",
    "Requests sent again by this instance, by the fault before.",
    ["fault"],
)
forwards = prometheus_client.Counter(
    "bamboosill_entry_forwards_total",
    "Attempts to forward a request to another zone.",
)
pool_connections = prometheus_client.Gauge(
    "bamboosill_entry_pool_connections",
    "Open connections to upstreams and to entry instances of other zones.",
)

# Zone.
zone_serve_lease = prometheus_client.Gauge(
    "bamboosill_zone_serve_lease_valid",
    "1 while this instance holds a serve lease.",
)
zone_moves_begun = prometheus_client.Counter(
    "bamboosill_zone_moves_begun_total",
    "Shards whose move this instance began as zone leader.",
)
zone_moves_finished = prometheus_client.Counter(
    "bamboosill_zone_moves_finished_total",
    "Shards whose move this instance finished as zone leader.",
)
zone_upstreams_lost = prometheus_client.Counter(
    "bamboosill_zone_upstreams_lost_total",
    "Upstreams that this instance found lost as zone leader.",
)
zone_records = prometheus_client.Gauge(
    "bamboosill_zone_records", "Records of non-repeatable requests held."
)
zone_quarantined = prometheus_client.Gauge(
    "bamboosill_zone_quarantined_requests", "Requests in quarantine."
)

# Consensus; the label `group` is `control` or `zone`.
consensus_leader = prometheus_client.Gauge(
    "bamboosill_consensus_leader", "1 while this instance leads.", ["group"]
)
consensus_term = prometheus_client.Gauge(
    "bamboosill_consensus_term", "Current term.", ["group"]
)
consensus_commit_index = prometheus_client.Gauge(
    "bamboosill_consensus_commit_index",
    "Index of the last entry known to be committed.",
    ["group"],
)
consensus_applied_index = prometheus_client.Gauge(
    "bamboosill_consensus_applied_index",
    "Index of the last entry that was applied.",
    ["group"],
)
consensus_campaigns = prometheus_client.Counter(
    "bamboosill_consensus_campaigns_total",
    "Elections that this instance stood for.",
    ["group"],
)
consensus_elections = prometheus_client.Counter(
    "bamboosill_consensus_elections_won_total",
    "Elections that this instance won.",
    ["group"],
)
storage_sync = prometheus_client.Histogram(
    "bamboosill_storage_sync_duration_seconds",
    "Time of one sync of a file in the data folder.",
    buckets=_FILE_SYNC_BUCKETS_S,
)

# Control role.
control_revision = prometheus_client.Gauge(
    "bamboosill_control_revision", "Revision of the control state."
)
control_contracts = prometheus_client.Gauge(
    "bamboosill_control_contracts", "Contracts in force."
)
control_zones_silent = prometheus_client.Gauge(
    "bamboosill_control_zones_silent",
    "Zones that the control leader has not heard of within one lease.",
)
control_delegations_changed = prometheus_client.Counter(
    "bamboosill_control_delegations_changed_total",
    "Runs of shards that this instance delegated as control leader.",
)

# Connections between instances.
peer_bad_frames = prometheus_client.Counter(
    "bamboosill_peer_bad_frames_total",
    "Peer connections closed because of bad bytes or a refused hello.",
)
peer_silent_connections = prometheus_client.Counter(
    "bamboosill_peer_silent_connections_total",
    "Peer connections replaced because they went silent.",
)
peer_connections_opened = prometheus_client.Counter(
    "bamboosill_peer_connections_opened_total",
    "Connections opened to other instances, reconnections included.",
)
tls_failures = prometheus_client.Counter(
    "bamboosill_tls_failed_handshakes_total",
    "TLS handshakes that failed, by port.",
    ["port"],
)

# Routed services: request path of an entry instance, and fleet state.
gateway_requests = prometheus_client.Counter(
    "bamboosill_gateway_requests_total",
    "Answers to callers of routed services, by status class.",
    ["status"],
)
gateway_duration = prometheus_client.Histogram(
    "bamboosill_gateway_request_duration_seconds",
    "Time from a whole request to its answer, by outcome.",
    ["outcome"],
    buckets=_DURATION_BUCKETS_S,
)
gateway_failed_sends = prometheus_client.Counter(
    "bamboosill_gateway_failed_sends_total",
    "Sends to upstreams without an answer to pass on, by fault.",
    ["fault"],
)
gateway_repeats = prometheus_client.Counter(
    "bamboosill_gateway_repeats_total",
    "Requests sent to another upstream, by cause.",
    ["cause"],
)
gateway_permits = prometheus_client.Counter(
    "bamboosill_gateway_permit_requests_total",
    "Questions for permits to send to upstreams with a rate limit, by outcome.",
    ["outcome"],
)
gateway_cold_requests = prometheus_client.Counter(
    "bamboosill_gateway_cold_requests_total",
    "Requests for cold upstreams that were sent or refused, by outcome.",
    ["outcome"],
)
fleet_cold_upstreams = prometheus_client.Gauge(
    "bamboosill_fleet_cold_upstreams",
    "Upstreams that the leader limits because they are cold.",
)
gateway_cut_off = prometheus_client.Gauge(
    "bamboosill_gateway_cut_off",
    "1 while this instance reaches no upstream.",
)
gateway_forwards = prometheus_client.Counter(
    "bamboosill_gateway_forwards_total",
    "Requests forwarded to other entry instances, by outcome.",
    ["outcome"],
)
gateway_answer_reports = prometheus_client.Counter(
    "bamboosill_gateway_answer_reports_total",
    "Reports that an upstream answered a suspected request, by outcome.",
    ["outcome"],
)
gateway_sync_age = prometheus_client.Gauge(
    "bamboosill_gateway_sync_age_seconds",
    "Time since the leader last answered this entry instance.",
)
# The log index of the last command that this instance applied to its fleet
# state.
fleet_revision = prometheus_client.Gauge(
    "bamboosill_fleet_revision", "Log index of the state in force here."
)
fleet_configuration_version = prometheus_client.Gauge(
    "bamboosill_fleet_configuration_version",
    "Version of the configuration in force here.",
)
fleet_evacuated_zones = prometheus_client.Gauge(
    "bamboosill_fleet_evacuated_zones",
    "Availability zones whose upstreams get no requests from here.",
)
fleet_evacuation_orders = prometheus_client.Counter(
    "bamboosill_fleet_evacuation_orders_total",
    "Orders to evacuate a zone or not that this leader handled, by outcome.",
    ["outcome"],
)
fleet_reports = prometheus_client.Counter(
    "bamboosill_fleet_reports_total",
    "Heartbeats of upstreams that this leader answered, by outcome.",
    ["outcome"],
)
fleet_key_changes = prometheus_client.Counter(
    "bamboosill_fleet_key_changes_total",
    "Ranges of keys that this leader freed or granted.",
    ["change"],
)
fleet_key_calls = prometheus_client.Counter(
    "bamboosill_fleet_key_calls_total",
    "Calls of this leader to upstreams that take keys by calls.",
    ["change", "outcome"],
)
fleet_key_call_duration = prometheus_client.Histogram(
    "bamboosill_fleet_key_call_duration_seconds",
    "From such a call, its connection included, to its outcome.",
    ["change"],
)
fleet_feed_replies = prometheus_client.Counter(
    "bamboosill_fleet_feed_replies_total",
    "Replies of this leader to polls of entry instances, by content.",
    ["outcome"],
)
fleet_feed_bytes = prometheus_client.Counter(
    "bamboosill_fleet_feed_bytes_total",
    "Bytes of state in replies to polls of entry instances, by content.",
    ["outcome"],
)
fleet_relay_exchanges = prometheus_client.Counter(
    "bamboosill_fleet_relay_exchanges",
    "Exchanges of this control instance, as a relay, with the leader.",
    ["outcome"],
)
fleet_snapshot_duration = prometheus_client.Histogram(
    "bamboosill_fleet_snapshot_duration_seconds",
    "Time to encode a snapshot of the fleet state.",
    buckets=_SNAPSHOT_BUCKETS_S,
)
log_lines_dropped = prometheus_client.Counter(
    "bamboosill_log_lines_dropped_total",
    "Log lines that were left out to bound their volume.",
)
