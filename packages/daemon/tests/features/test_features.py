"""Runs all feature files of this directory."""

import pytest_bdd

pytest_bdd.scenarios("daemon/tests/features")
