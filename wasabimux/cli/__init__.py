"""The daemon's and the operators' command lines."""
