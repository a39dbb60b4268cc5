"""The role that meets callers."""
