"""Tests of the program of the platform as a process."""

import os
import pathlib
import signal
import subprocess
import sys
import threading

import pytest

_MAIN = pathlib.Path(__file__).parents[4] / "platform" / "main.py"


@pytest.mark.parametrize("role", ["entry", "control"])
def test_a_starting_process_survives_sighup(tmp_path, role):
    """Guards against a process that ends while its settings change.

    Seen in the soak with --site, seeds 4 and 5: processes ended with -1.
    """
    path = tmp_path / "settings"
    # The process waits until the settings are written.
    os.mkfifo(path)
    with subprocess.Popen(
        [sys.executable, str(_MAIN), role],
        env={**os.environ, "BAMBOOSILL_SETTINGS": str(path)},
        stderr=subprocess.DEVNULL,
    ) as process:
        # If the process ends, nothing else opens the file for reading.
        timer = threading.Timer(10.0, process.kill)
        timer.start()
        with path.open("w") as settings:
            process.send_signal(signal.SIGHUP)
            settings.write("no settings\n")
        assert process.wait(10) == 2
        timer.cancel()
