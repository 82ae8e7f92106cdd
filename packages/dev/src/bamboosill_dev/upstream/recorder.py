"""Record of executed requests, in JSON lines.

The checkers of fault runs compare it with what callers were answered.
"""

import json
import pathlib
import time
from typing import Any
from typing import TextIO


class Recorder:
    """Appends one line per request when its effect becomes visible.

    Attributes:
        lines: The lines of this process, if no file is given.
    """

    def __init__(self, path: str) -> None:
        # Line buffering keeps each line when the process is killed.
        self._file: TextIO | None = None
        if path:
            self._file = pathlib.Path(path).open("a", buffering=1)  # noqa: SIM115
        self.lines: list[dict[str, Any]] = []

    def write(self, **fields: Any) -> None:
        """Writes one line, with the current time as `end_ns`."""
        fields["end_ns"] = time.clock_gettime_ns(time.CLOCK_MONOTONIC)
        if self._file is not None:
            self._file.write(json.dumps(fields) + "\n")
        else:
            self.lines.append(fields)

    def close(self) -> None:
        """Closes the file."""
        if self._file is not None:
            self._file.close()
