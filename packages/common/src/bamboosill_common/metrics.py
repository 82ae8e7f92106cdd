"""Metrics that more than one part of the programs counts."""

import prometheus_client

tls_failures = prometheus_client.Counter(
    "bamboosill_tls_failed_handshakes_total",
    "TLS handshakes that failed, by port.",
    ["port"],
)
