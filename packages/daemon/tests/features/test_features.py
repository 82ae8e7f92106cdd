"""Runs all features beside this file."""

import pytest_bdd

pytest_bdd.scenarios("daemon/tests/features")
