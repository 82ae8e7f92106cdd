"""JSON logging with a component name in front of each message."""

from collections.abc import MutableMapping
import logging
import sys
from typing import Any

from pythonjsonlogger.json import JsonFormatter


class PartLogger(logging.LoggerAdapter[logging.Logger]):
    """Logger that prefixes each message with a component name."""

    def process(
        self, msg: Any, kwargs: MutableMapping[str, Any]
    ) -> tuple[Any, MutableMapping[str, Any]]:
        """Prefixes the message with the component name."""
        return f"{self.extra['part']}: {msg}" if self.extra else msg, kwargs


def get_logger(part: str) -> PartLogger:
    """Returns the logger of a component, such as `zone` or `entry`."""
    return PartLogger(logging.getLogger(f"bamboosill.{part}"), {"part": part})


class _RequestTextRedactor(logging.Filter):
    """Removes tracebacks that contain text of a malformed request.

    aiohttp includes the malformed line in its exception, and that line can be
    an `Authorization` header.
    """

    def filter(self, record: logging.LogRecord) -> bool:
        """Redacts the record if needed; always returns True."""
        error = record.exc_info[1] if record.exc_info else None
        # Not imported, to save memory in processes that do not use aiohttp.
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
    """Configures JSON logging to standard error with the given fields."""
    handler = logging.StreamHandler(sys.stderr)
    handler.addFilter(_RequestTextRedactor())
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
