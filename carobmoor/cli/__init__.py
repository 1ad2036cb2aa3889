"""The `carobmoor` command-line interface."""

from carobmoor.cli._main import main

__all__ = ['main']
