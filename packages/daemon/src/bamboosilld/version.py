"""Version of the daemon."""

from importlib import metadata

VERSION = metadata.version("bamboosilld")
