"""Tests of `carobmoor.decoding`, and the odd values of other tests."""
