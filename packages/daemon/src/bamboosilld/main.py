"""Command line of the daemon."""

import argparse
import os
import pathlib
import sys

import aiomisc

from bamboosill_common import findings
from bamboosill_common import logs
from bamboosill_common import settings as settings_lib
from bamboosill_common.generated import settings as generated
from bamboosilld import instance
from bamboosilld import version

EXIT_FINDINGS = 2


def make_parser() -> argparse.ArgumentParser:
    """Returns the parser of the daemon's flags."""
    parser = argparse.ArgumentParser(
        prog="bamboosilld", description="Runs one instance of bamboosill."
    )
    settings_lib.add_flags(parser, generated.DAEMON_SETTINGS)
    parser.add_argument(
        "--check",
        action="store_true",
        help="Print all findings about the settings and exit.",
    )
    parser.add_argument(
        "--show-settings",
        action="store_true",
        help="Print the settings in force and where each came from, and exit.",
    )
    parser.add_argument(
        "--version", action="version", version=f"bamboosilld {version.VERSION}"
    )
    return parser


def main(arguments: list[str] | None = None) -> int:
    """Runs the daemon until it is told to stop."""
    flags = make_parser().parse_args(arguments)
    loaded = settings_lib.load_settings(
        generated.DAEMON_SETTINGS, vars(flags), os.environ
    )
    settings_lib.check_daemon(loaded)
    if flags.show_settings:
        print(settings_lib.format_settings(loaded))
    if loaded.findings:
        print(findings.format_findings(loaded.findings), file=sys.stderr)
        return EXIT_FINDINGS
    if flags.check or flags.show_settings:
        return 0
    settings = generated.DaemonSettings(**loaded.values)
    logs.setup_logging(
        settings.log_level, instance=settings.instance_id, zone=settings.zone
    )
    if settings.data_dir:
        pathlib.Path(settings.data_dir).mkdir(parents=True, exist_ok=True)
    service = instance.InstanceService(settings)
    with aiomisc.entrypoint(
        service, log_config=False, shutdown_timeout=settings.shutdown_grace_s
    ) as loop:
        loop.run_forever()
    return service.exit_code


if __name__ == "__main__":
    sys.exit(main())
