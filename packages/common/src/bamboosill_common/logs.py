"""JSON log lines with a fixed prefix for each part."""

from collections.abc import MutableMapping
import logging
import sys
from typing import Any

from pythonjsonlogger.json import JsonFormatter


class PartLogger(logging.LoggerAdapter[logging.Logger]):
    """Prefixes each line with the name of its part."""

    def process(
        self, msg: Any, kwargs: MutableMapping[str, Any]
    ) -> tuple[Any, MutableMapping[str, Any]]:
        """Adds the prefix."""
        return f"{self.extra['part']}: {msg}" if self.extra else msg, kwargs


def get_logger(part: str) -> PartLogger:
    """Returns the logger of a part, such as `zone` or `entry`."""
    return PartLogger(logging.getLogger(f"bamboosill.{part}"), {"part": part})


def setup_logging(level: str, **fields: str) -> None:
    """Writes JSON lines with the given fields to standard error."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        JsonFormatter(
            "%(asctime)s %(levelname)s %(message)s",
            rename_fields={"asctime": "time", "levelname": "level"},
            static_fields=dict(fields),
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    logging.getLogger("aiohttp.access").setLevel(logging.WARNING)
