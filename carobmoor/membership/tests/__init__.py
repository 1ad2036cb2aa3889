"""Tests of cluster membership."""
