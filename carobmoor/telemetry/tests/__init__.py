"""Tests of `carobmoor.telemetry`."""
