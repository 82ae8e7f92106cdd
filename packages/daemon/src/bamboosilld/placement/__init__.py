"""Decides which upstream owns each shard.

Importing this package registers all placement policies.
"""

from bamboosilld.placement import bounded as _bounded
from bamboosilld.placement import hashed as _hashed

__all__: list[str] = []
_REGISTERED = (_bounded, _hashed)
