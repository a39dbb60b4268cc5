"""Implementations of the ports over HTTP, and HTTP server, TLS, logs and metrics."""
