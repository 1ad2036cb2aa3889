"""Tests of `carobmoor.reports`."""
