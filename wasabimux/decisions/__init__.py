"""Decisions without input or output; the present time is always an argument."""
