"""The relay role: passes requests on unchanged to upstreams that it calls itself."""
