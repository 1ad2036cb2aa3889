"""Tests of the checker, the scenario language and the scenarios."""
