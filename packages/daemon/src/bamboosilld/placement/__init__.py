"""Decides which upstream owns which shard; importing it fills the registry."""

from bamboosilld.placement import bounded as _bounded
from bamboosilld.placement import hashed as _hashed

__all__: list[str] = []
_REGISTERED = (_bounded, _hashed)
