"""The commands, which `fire` turns into a command line."""

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
from carobmoor.platform import StoreClient, parse_settings

# Node settings and documents start with JSON or with a comment.
_JSON_PREFIXES: Final = ('{', '[', '/')


def node(settings: str) -> None:
    """Run a node beside its backend server until SIGTERM.

    Args:
        settings: File with the node's settings, JSON with comments.
    """
    loaded = load_settings(settings)
    if isinstance(loaded, Err):
        exit_with_faults(loaded.err_value)
    else:
        asyncio.run(run_node(loaded.ok_value, StoreClient))


def check(path: str) -> None:
    """Validate a settings file or a configuration document.

    Every error in node settings or a document is printed with its path in
    the file, the value found and what is allowed, and the exit code is 2. In
    settings of the platform (lines of `a.b=value`) only the first error is
    printed, and the exit code is 1.

    Args:
        path: File to check.
    """
    try:
        text = Path(path).read_text(encoding='utf-8')
    except OSError as error:
        fail(f'cannot read {path}: {error.strerror}')
    if '=' in text and not text.lstrip().startswith(_JSON_PREFIXES):
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
    """Validate settings of the platform, lines of `a.b=value`."""
    parsed_settings = parse_settings(text)
    if isinstance(parsed_settings, Err):
        fail(f'{path}: invalid platform settings: {parsed_settings.err_value}')
    sys.stdout.write(f'{path}: valid settings of the platform\n')


def schema(of: str = 'configuration') -> None:
    """Print the JSON Schema of the configuration or of node settings.

    Args:
        of: Either `configuration` or `settings`.
    """
    schemas = {'configuration': document_schema, 'settings': settings_schema}
    if of not in schemas:
        fail(f'unknown schema {of}: choose one of {", ".join(schemas)}')
    print_json(msgspec.json.encode(schemas[of]()))


def main() -> None:
    """Run the command line."""
    fire.core.Display = _print_without_pager
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


def _print_without_pager(lines: Sequence[str], out: object) -> None:
    """Print help without a pager, so that it works in scripts."""
    sys.stdout.writelines(f'{line}\n' for line in lines)
