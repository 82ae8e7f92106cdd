"""Benchmarks under bounded load: `python -m bamboosill_dev.load hop`."""

import argparse

from bamboosill_dev.load import hop


def main() -> None:
    """Runs the benchmark that the command line names."""
    parser = argparse.ArgumentParser(prog="bamboosill_dev.load")
    commands = parser.add_subparsers(required=True)
    command = commands.add_parser("hop", help=hop.__doc__)
    command.add_argument("--rounds", type=int, default=3)
    command.add_argument(
        "--profile",
        default="",
        help="file to which cProfile writes a profile of the entry process",
    )
    options = parser.parse_args()
    hop.run(options.rounds, options.profile)


if __name__ == "__main__":
    main()
