"""The protocol between entries and agents."""
