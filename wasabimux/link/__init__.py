"""The link protocol, which entries, agents and relays use among one another."""
