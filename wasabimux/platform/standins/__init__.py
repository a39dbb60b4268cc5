"""Small stand-ins of the platform's store and runners, on their wire protocol."""
