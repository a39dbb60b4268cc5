"""Adapters from the ports to HTTP, the platform, logs and metrics."""
