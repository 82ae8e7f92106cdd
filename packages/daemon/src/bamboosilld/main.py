"""Command line of the daemon: loads the settings and runs an instance."""

import argparse
import os
import sys

import aiomisc

from bamboosill_common import findings
from bamboosill_common import logs
from bamboosill_common import settings as settings_lib
from bamboosill_common.generated import settings as generated
from bamboosilld import instance
from bamboosilld import startup
from bamboosilld import version

EXIT_FAILED = 1
EXIT_INVALID_SETTINGS = 2
# Added to the shutdown grace period for cleanup that does not depend on
# callers, such as closing files and leaving consensus groups.
_CLEANUP_TIMEOUT_S = 15.0


def make_parser() -> argparse.ArgumentParser:
    """Returns the parser of the daemon's flags."""
    parser = argparse.ArgumentParser(
        prog="bamboosilld", description="Runs one instance of bamboosill."
    )
    settings_lib.add_flags(parser, generated.DAEMON_SETTINGS)
    parser.add_argument(
        "--check",
        action="store_true",
        help="Check the settings, print all errors found and exit.",
    )
    parser.add_argument(
        "--show-settings",
        action="store_true",
        help="Print the effective settings and the source of each, and exit.",
    )
    parser.add_argument(
        "--version", action="version", version=f"bamboosilld {version.VERSION}"
    )
    return parser


def main(arguments: list[str] | None = None) -> int:
    """Runs the daemon and returns the exit code."""
    flags = make_parser().parse_args(arguments)
    loaded = settings_lib.load_settings(
        generated.DAEMON_SETTINGS, vars(flags), os.environ
    )
    settings_lib.check_daemon(loaded)
    if flags.show_settings:
        print(settings_lib.format_settings(loaded))
    if loaded.findings:
        print(findings.format_findings(loaded.findings), file=sys.stderr)
        return EXIT_INVALID_SETTINGS
    if flags.check or flags.show_settings:
        return 0
    settings = generated.DaemonSettings(**loaded.values)
    logs.setup_logging(
        settings.log_level, instance=settings.instance_id, zone=settings.zone
    )
    return run(settings)


def run(settings: generated.DaemonSettings) -> int:
    """Runs an instance until a signal stops it; returns the exit code."""
    service = instance.InstanceService(settings)
    # The entrypoint handles only the first SIGTERM or SIGINT. A second one
    # terminates the process immediately.
    entrypoint = aiomisc.entrypoint(
        service,
        log_config=False,
        shutdown_timeout=settings.shutdown_grace_s + _CLEANUP_TIMEOUT_S,
    )
    try:
        with entrypoint as loop:
            loop.run_forever()
    except startup.StartupError as error:
        print(error.finding.format(), file=sys.stderr)
        return EXIT_FAILED
    except KeyboardInterrupt:
        return EXIT_FAILED
    return 0


if __name__ == "__main__":
    sys.exit(main())
