"""Parsing JSON with comments, and listing every fault of a document."""

from collections.abc import Sequence
from typing import Any, Final, NamedTuple

import json5
from pydantic import TypeAdapter, ValidationError
from result import Err, Ok, Result

_MAX_FOUND_CHARACTERS: Final = 60


class Fault(NamedTuple):
    """A fault: its path in the document, what was found, what is allowed."""

    path: str
    found: str
    allowed: str

    def __str__(self) -> str:
        """Return the fault as one line for an operator."""
        return f'{self.path}: found {self.found}; {self.allowed}'


def parse_commented_json(text: str) -> Result[Any, Sequence[Fault]]:
    """Parse JSON with comments."""
    try:
        return Ok(json5.loads(text))
    except ValueError as error:
        return Err((Fault('$', 'no JSON', str(error)),))
    except RecursionError:
        return Err((Fault('$', 'no JSON', 'nested too deeply to parse'),))


def validate_against(
    adapter: TypeAdapter[Any],
    candidate: object,
) -> Result[Any, Sequence[Fault]]:
    """Validate a parsed document against its type and list every fault."""
    try:
        return Ok(adapter.validate_python(candidate))
    except ValidationError as error:
        return Err(tuple(_make_fault(entry) for entry in error.errors()))


def _make_fault(entry: Any) -> Fault:
    path = ''.join(_path_part(part) for part in entry['loc'])
    found = 'nothing' if entry['type'] == 'missing' else repr(entry['input'])
    return Fault(f'${path}', found[:_MAX_FOUND_CHARACTERS], entry['msg'])


def _path_part(part: int | str) -> str:
    return f'[{part}]' if isinstance(part, int) else f'.{part}'
