"""The tree of settings: documents, checks, inheritance and naming schemes."""
