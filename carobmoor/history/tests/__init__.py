"""Tests of the histories."""
