"""What commands print."""

import sys
from typing import Final, NoReturn

import msgspec

_EXIT_FAILED: Final = 1


def print_json(document: bytes) -> None:
    """Print JSON, indented."""
    formatted = msgspec.json.format(document, indent=2)
    sys.stdout.write(f'{formatted.decode()}\n')


def fail(message: str, exit_code: int = _EXIT_FAILED) -> NoReturn:
    """Print a message to standard error and exit."""
    sys.stderr.write(f'carobmoor: {message}\n')
    sys.exit(exit_code)
