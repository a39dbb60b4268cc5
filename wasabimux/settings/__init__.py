"""Settings: models, validation, inheritance in the settings tree, naming schemes."""
