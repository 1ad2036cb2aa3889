"""Tests of `carobmoor.burn`."""
