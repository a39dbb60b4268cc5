"""The entry: the role that accepts client requests and routes them to upstreams."""
