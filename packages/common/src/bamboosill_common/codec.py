"""The record that ties a message class to its Cap'n Proto struct."""

from collections.abc import Callable
import pathlib
from typing import Any
from typing import NamedTuple

import capnp

# All messages of the generated modules that this process has imported: each
# schema takes memory and time at the start.
CODECS_BY_CLASS: dict[type[Any], "Codec"] = {}
CODECS_BY_NAME: dict[str, "Codec"] = {}

SCHEMA_DIR = pathlib.Path(__file__).parent / "schema"


class Codec(NamedTuple):
    """How one message class is written and read."""

    name: str
    message: type[Any]
    struct: Any
    fill: Callable[[Any, Any], None]
    read: Callable[[Any], Any]


def register(*codecs: Codec) -> None:
    """Makes messages known to `wire`; called by each generated module."""
    for each in codecs:
        CODECS_BY_CLASS[each.message] = each
        CODECS_BY_NAME[each.name] = each


def load_schema(name: str) -> Any:
    """Returns the loaded Cap'n Proto schema file `name`.capnp."""
    return capnp.load(str(SCHEMA_DIR / f"{name}.capnp"))
