"""Adapter to the users' platform: its names and documents in, our types out."""
