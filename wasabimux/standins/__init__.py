"""Stand-ins that simulate the platform, model engines and HTTP services."""
