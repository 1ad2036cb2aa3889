"""Fixtures for tests of the command line."""

import contextlib
import io
import sys
from pathlib import Path
from typing import NamedTuple
from unittest import mock

from carobmoor.cli import main

EXAMPLES = Path(__file__).parents[3] / 'examples'


class CompletedCommand(NamedTuple):
    """The exit code and output of a command."""

    exit_code: int
    stdout: str
    stderr: str


def run_command(*arguments: str) -> CompletedCommand:
    """Run a command line in this process."""
    out = io.TextIOWrapper(io.BytesIO(), write_through=True)
    err = io.StringIO()
    code = 0
    with (
        mock.patch.object(sys, 'argv', ['carobmoor', *arguments]),
        contextlib.redirect_stdout(out),
        contextlib.redirect_stderr(err),
    ):
        try:
            main()
        except SystemExit as exited:
            code = int(exited.code or 0)
    printed = out.buffer.getvalue().decode()
    return CompletedCommand(code, printed, err.getvalue())
