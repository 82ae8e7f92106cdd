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


class _RequestTextFilter(logging.Filter):
    """Drops tracebacks that quote a malformed request.

    The HTTP library puts the offending line into its exception, and that
    line can be an `Authorization` header.
    """

    def filter(self, record: logging.LogRecord) -> bool:
        """Returns true; changes the record where needed."""
        error = record.exc_info[1] if record.exc_info else None
        # Not imported here: processes that do not use aiohttp save its memory.
        http_exceptions = sys.modules.get("aiohttp.http_exceptions")
        while error is not None and http_exceptions is not None:
            if isinstance(error, http_exceptions.HttpProcessingError):
                record.msg = f"{record.getMessage()}: {type(error).__name__}"
                record.args = None
                record.exc_info = None
                record.exc_text = None
                break
            error = error.__cause__ or error.__context__
        return True


def setup_logging(level: str, **fields: str) -> None:
    """Writes JSON lines with the given fields to standard error."""
    handler = logging.StreamHandler(sys.stderr)
    handler.addFilter(_RequestTextFilter())
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
