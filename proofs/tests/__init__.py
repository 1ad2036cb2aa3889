"""Tests of the checker and of the scenario language."""
