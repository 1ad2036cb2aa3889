"""Tests of the request records."""
