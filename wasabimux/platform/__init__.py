"""Adapter to the users' platform: converts between its formats and our types."""
