"""Maps keys to shards and names keyspaces."""

from collections.abc import Sequence

import xxhash

# Unit separator: cannot occur in a customer name, so that ("a", "bc") and
# ("ab", "c") hash differently.
_SEPARATOR = "\x1f"


def compute_shard(customer: str, key: str, shards: int) -> int:
    """Returns the shard of a customer's key, from 0 to shards - 1."""
    return (
        xxhash.xxh3_64_intdigest(f"{customer}{_SEPARATOR}{key}".encode())
        % shards
    )


def format_hot_key(customer: str, key: str) -> str:
    """Returns the name under which a hot key has its own assignment."""
    return f"{customer}{_SEPARATOR}{key}"


def format_keyspace(service: str, zone_loss: str, zones: Sequence[str]) -> str:
    """Returns the id of the keyspace of a service, policy and set of zones."""
    where = "+".join(sorted(zones)) if zones else "all"
    return f"{service}/{zone_loss}/{where}"


EPOCH_SHIFT = 40


def make_fence(delegation_epoch: int, log_index: int) -> int:
    """Returns the fence of an assignment; newer ones are larger."""
    return delegation_epoch << EPOCH_SHIFT | log_index
