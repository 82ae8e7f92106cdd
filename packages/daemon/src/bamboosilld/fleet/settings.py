"""Settings of all processes of a fleet, on any hosting platform."""

from typing import NamedTuple


class FleetSettings(NamedTuple):
    """Identity and addresses of a process, and limits agreed with upstreams.

    Attributes:
        instance: Name of this instance in logs.
        zone: Its availability zone.
        peer_address: Address at which other instances reach this one.
        control_peers: Peer addresses of some control instances; all
            instances need the same ones when the system is bootstrapped.
        bootstraps: Whether the system is being bootstrapped.
        data_dir: Data folder of the control role; empty for other roles.
        max_lease_ms: Longest lease on keys that upstreams accept.
        heartbeat_ms: Approximate interval between heartbeats of an upstream.
    """

    instance: str
    zone: str
    peer_address: str
    control_peers: tuple[str, ...]
    bootstraps: bool
    data_dir: str
    max_lease_ms: int
    heartbeat_ms: int
