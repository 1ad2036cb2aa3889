"""Tests of event histories."""
