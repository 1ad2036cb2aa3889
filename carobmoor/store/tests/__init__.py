"""Tests of `carobmoor.store`."""
