"""The agent: the process role that runs beside each upstream."""
