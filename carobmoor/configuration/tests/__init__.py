"""Tests of `carobmoor.configuration`."""
