"""What operators do to a fleet."""
