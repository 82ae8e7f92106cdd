"""Record of executed requests, as JSON lines."""

import json
import pathlib
import time
from typing import Any
from typing import TextIO


class Recorder:
    """Appends one line for each request when its effect becomes visible.

    Attributes:
        lines: The lines written by this process.
    """

    def __init__(self, path: str) -> None:
        # Line buffered, so that no line is lost when the process is killed.
        self._file: TextIO | None = None
        if path:
            self._file = pathlib.Path(path).open("a", buffering=1)  # noqa: SIM115
        self.lines: list[dict[str, Any]] = []

    def write(self, **fields: Any) -> None:
        """Writes one line; `end_ns` is set to the current time."""
        fields["end_ns"] = time.clock_gettime_ns(time.CLOCK_MONOTONIC)
        if self._file is not None:
            self._file.write(json.dumps(fields) + "\n")
        else:
            self.lines.append(fields)

    def close(self) -> None:
        """Closes the file."""
        if self._file is not None:
            self._file.close()
