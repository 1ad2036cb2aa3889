"""Tests of the whole path, across processes."""
