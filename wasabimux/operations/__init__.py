"""Operators' changes to fleet settings, and analysis of the logs of a fleet."""
