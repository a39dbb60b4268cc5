"""What the cases of the second review share: a small deployment and its clients."""
