"""The commands, as functions that `fire` makes a command line of."""

import asyncio
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Final

import fire
import msgspec
from result import Err

from carobmoor.cli._admin import ConfigCommands, call, drain, status
from carobmoor.cli._output import exit_with_faults, fail, print_json
from carobmoor.cli._quarantine import QuarantineCommands
from carobmoor.cli._report import ReportCommands, explain
from carobmoor.cli._timeline import timeline
from carobmoor.configuration import (
    document_schema,
    parse_commented_json,
    validate_document,
)
from carobmoor.node import (
    load_settings,
    run_node,
    settings_schema,
    validate_settings,
)
from carobmoor.platform import StoreClient, read_settings

# A document or settings of ours begin so; comments may come first.
_JSON_STARTS: Final = ('{', '[', '/')


def node(settings: str) -> None:
    """Run a node beside its backend server until SIGTERM.

    Args:
        settings: The file with the node's settings, JSON with comments.
    """
    loaded = load_settings(settings)
    if isinstance(loaded, Err):
        exit_with_faults(loaded.err_value)
    else:
        asyncio.run(run_node(loaded.ok_value, StoreClient))


def check(path: str) -> None:
    """Check a settings file, ours or the platform's, or a document.

    Every fault is printed with its path in the document, what was found and
    what is allowed; the exit code is 2 when there is any.

    Args:
        path: The file to check.
    """
    try:
        text = Path(path).read_text(encoding='utf-8')
    except OSError as error:
        fail(f'{path}: {error.strerror}')
    if '=' in text and not text.lstrip().startswith(_JSON_STARTS):
        _check_platform_settings(path, text)
        return
    parsed = parse_commented_json(text)
    if isinstance(parsed, Err):
        exit_with_faults(parsed.err_value)
    candidate = parsed.unwrap()
    is_settings = isinstance(candidate, dict) and 'listen' in candidate
    validate = validate_settings if is_settings else validate_document
    checked = validate(candidate)
    if isinstance(checked, Err):
        exit_with_faults(checked.err_value)
    kind = 'settings' if is_settings else 'configuration'
    sys.stdout.write(f'{path}: valid {kind}\n')


def _check_platform_settings(path: str, text: str) -> None:
    """Check settings as the platform writes them, lines of `a.b=value`."""
    read = read_settings(text)
    if isinstance(read, Err):
        fail(f'{path}: {read.err_value}')
    sys.stdout.write(f'{path}: valid settings of the platform\n')


def schema(of: str = 'configuration') -> None:
    """Print a JSON Schema.

    Args:
        of: `configuration` or `settings`.
    """
    schemas = {'configuration': document_schema, 'settings': settings_schema}
    if of not in schemas:
        fail(f'no schema of {of}; choose one of {", ".join(schemas)}')
    print_json(msgspec.json.encode(schemas[of]()))


def main() -> None:
    """Run the command line."""
    fire.core.Display = _display
    try:
        fire.Fire(
            {
                'node': node,
                'check': check,
                'schema': schema,
                'config': ConfigCommands,
                'report': ReportCommands,
                'explain': explain,
                'timeline': timeline,
                'quarantine': QuarantineCommands,
                'status': status,
                'drain': drain,
                'call': call,
            },
            name='carobmoor',
        )
    except KeyboardInterrupt:
        sys.exit(0)


def _display(lines: Sequence[str], out: object) -> None:
    """Print help without a pager, so that it works in scripts."""
    sys.stdout.writelines(f'{line}\n' for line in lines)
