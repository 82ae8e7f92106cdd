"""The record that ties a message class to its Cap'n Proto struct."""

from collections.abc import Callable
import pathlib
from typing import Any
from typing import NamedTuple

import capnp

SCHEMA_DIR = pathlib.Path(__file__).parent / "schema"


class Codec(NamedTuple):
    """How one message class is written and read."""

    name: str
    message: type[Any]
    struct: Any
    fill: Callable[[Any, Any], None]
    read: Callable[[Any], Any]


def load_schema(name: str) -> Any:
    """Returns the loaded Cap'n Proto schema file `name`.capnp."""
    return capnp.load(str(SCHEMA_DIR / f"{name}.capnp"))
