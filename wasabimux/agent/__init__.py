"""The role beside each upstream."""
