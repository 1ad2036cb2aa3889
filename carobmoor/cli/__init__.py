"""The command line, `carobmoor`."""

from carobmoor.cli._main import main

__all__ = ['main']
