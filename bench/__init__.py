"""Measurements on real processes and on the decision code; not tests."""
