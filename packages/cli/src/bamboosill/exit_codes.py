"""Exit codes of the command line."""

OK = 0
REFUSED = 1
USAGE = 2
UNREACHABLE = 3
CONFLICT = 4
