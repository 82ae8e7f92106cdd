"""Maps keys to shards, and builds keyspace ids and fencing tokens."""

from collections.abc import Sequence

import xxhash

# The ASCII unit separator cannot occur in a customer name, so ("a", "bc") and
# ("ab", "c") have different hash inputs.
_SEPARATOR = "\x1f"


def compute_shard(customer: str, key: str, shards: int) -> int:
    """Returns the shard of a customer's key, from 0 to `shards` - 1."""
    return (
        xxhash.xxh3_64_intdigest(f"{customer}{_SEPARATOR}{key}".encode())
        % shards
    )


def format_hot_key(customer: str, key: str) -> str:
    """Returns the id of a hot key, which is assigned apart from its shard."""
    return f"{customer}{_SEPARATOR}{key}"


def format_keyspace(service: str, zone_loss: str, zones: Sequence[str]) -> str:
    """Returns the id of the keyspace of a service, policy and zones.

    Args:
        service: Name of the service.
        zone_loss: Policy for the loss of a zone, `hold` or `lapse`.
        zones: Allowed zones; empty allows all.
    """
    zones_text = "+".join(sorted(zones)) if zones else "all"
    return f"{service}/{zone_loss}/{zones_text}"


EPOCH_SHIFT = 40


def make_fence(delegation_epoch: int, log_index: int) -> int:
    """Returns the fencing token of an assignment; newer tokens are larger.

    The epoch of the delegation takes precedence over the index in the log of
    the zone group.
    """
    return delegation_epoch << EPOCH_SHIFT | log_index
