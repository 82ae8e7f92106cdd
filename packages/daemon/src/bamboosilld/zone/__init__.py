"""The consensus group of an availability zone and its authority."""
