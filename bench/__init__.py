"""Benchmarks of the decision code and of real processes; not tests."""
