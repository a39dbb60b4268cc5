"""The relay role: forwards requests unchanged to upstreams that it calls directly."""
