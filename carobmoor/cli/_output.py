"""Output and exit codes of the commands."""

import sys
from collections.abc import Sequence
from typing import Final, NoReturn

import msgspec

from carobmoor.configuration import Fault

_EXIT_FAILED: Final = 1
_EXIT_INVALID: Final = 2


def print_json(document: bytes) -> None:
    """Print indented JSON."""
    formatted = msgspec.json.format(document, indent=2)
    sys.stdout.write(f'{formatted.decode()}\n')


def fail(message: str, exit_code: int = _EXIT_FAILED) -> NoReturn:
    """Print an error message to standard error and exit."""
    sys.stderr.write(f'carobmoor: {message}\n')
    sys.exit(exit_code)


def exit_with_faults(faults: Sequence[Fault]) -> NoReturn:
    """Print every validation error to standard error and exit."""
    for fault in faults:
        sys.stderr.write(f'{fault}\n')
    sys.exit(_EXIT_INVALID)
