"""Settings of a member of the fleet, in the product's own terms."""

from typing import NamedTuple


class FleetSettings(NamedTuple):
    """Who a process is, whom it asks, and the times that are agreed.

    Attributes:
        instance: Name of this instance in logs.
        zone: Its availability zone.
        peer_address: Where other instances reach this one.
        control_peers: Peer addresses of some control instances; at the first
            start of the whole system, all instances get the same ones.
        founds: Whether the whole system starts for the first time.
        data_dir: Folder of the control role; empty for others.
        max_lease_ms: Longest lease on keys that upstreams accept.
        heartbeat_ms: About how often upstreams report.
    """

    instance: str
    zone: str
    peer_address: str
    control_peers: tuple[str, ...]
    founds: bool
    data_dir: str
    max_lease_ms: int
    heartbeat_ms: int
