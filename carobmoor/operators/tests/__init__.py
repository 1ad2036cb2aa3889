"""Tests of operators and their scopes."""
