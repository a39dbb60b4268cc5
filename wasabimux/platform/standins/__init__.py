"""Stand-ins for the platform's store and runners that speak their wire protocol."""
