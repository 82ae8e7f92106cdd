"""Registry that maps message classes to Cap'n Proto structs.

The generated modules register their messages here when they are imported.
"""

from collections.abc import Callable
import pathlib
from typing import Any
from typing import NamedTuple

import capnp

# Only messages of the generated modules that this process imports, because
# loading a schema costs memory and startup time.
CODECS_BY_CLASS: dict[type[Any], "Codec"] = {}
CODECS_BY_NAME: dict[str, "Codec"] = {}

SCHEMA_DIR = pathlib.Path(__file__).parent / "schema"


class Codec(NamedTuple):
    """Conversion between a message class and its Cap'n Proto struct.

    Attributes:
        name: Type name on the wire, such as `control.ZoneBeat`.
        message: Message class.
        struct: Loaded Cap'n Proto struct.
        fill: Copies a message into a struct builder.
        read: Returns the message in a struct reader.
    """

    name: str
    message: type[Any]
    struct: Any
    fill: Callable[[Any, Any], None]
    read: Callable[[Any], Any]


def register(*codecs: Codec) -> None:
    """Registers the codecs of messages; called by each generated module."""
    for message_codec in codecs:
        CODECS_BY_CLASS[message_codec.message] = message_codec
        CODECS_BY_NAME[message_codec.name] = message_codec


def load_schema(name: str) -> Any:
    """Loads the schema file `name`.capnp."""
    return capnp.load(str(SCHEMA_DIR / f"{name}.capnp"))
