"""The log lines of several nodes about one request, in order of time."""

import sys
from collections.abc import Iterable, Iterator, Mapping, Sequence
from datetime import datetime
from pathlib import Path
from typing import Any, Final, NamedTuple

import msgspec
from fire.decorators import SetParseFn

from carobmoor.cli._output import fail

# Lines about an owner are included from this long before the request's last.
_CONTEXT_S: Final = 5
_LEFT_OUT: Final = frozenset(('event', 'timestamp', 'level', 'request_id'))
_decoder: Final = msgspec.json.Decoder(dict[str, Any])


class LogLine(NamedTuple):
    """One line of a node's log."""

    # Unix time.
    at_s: float
    node: str
    event: str
    fields: Mapping[str, Any]


# Keeps `fire` from parsing an id such as 12e5 as a number.
@SetParseFn(str)
def timeline(request_id: str, *logs: str) -> None:
    """Print the log lines of several nodes about one request.

    Lines about the owners that it tried are included, unless they belong to
    another request. All lines are in order of time.

    Args:
        request_id: Id that the caller gave the request.
        logs: Files of JSON lines, as nodes write them to standard output.
    """
    lines = [line for log in logs for line in _read(Path(log))]
    told = select_lines(lines, request_id)
    if not told:
        fail(f'none of {len(lines)} log lines is about request {request_id}')
    first_s = told[0].at_s
    for line in told:
        sys.stdout.write(f'{_render(line, first_s)}\n')


def read_lines(text: Iterable[str], node: str) -> Iterator[LogLine]:
    """Parse log lines and skip all other lines.

    A log collector may have put a time and the node's name before each line;
    that name takes precedence over `node`.
    """
    for raw in text:
        prefix, brace, rest = raw.partition('{')
        try:
            fields = _decoder.decode(f'{brace}{rest}'.strip())
            at = datetime.fromisoformat(str(fields.get('timestamp', '')))
        except (msgspec.DecodeError, ValueError):
            continue
        named = prefix.split()
        event = str(fields.get('event', ''))
        yield LogLine(
            at.timestamp(), named[-1] if named else node, event, fields
        )


def select_lines(
    lines: Sequence[LogLine],
    request_id: str,
) -> Sequence[LogLine]:
    """Return the lines about a request and the owners it tried, by time."""
    own = [
        line for line in lines if line.fields.get('request_id') == request_id
    ]
    if not own:
        return ()
    tried = {owner for line in own for owner in line.fields.get('tried', ())}
    until_s = max(line.at_s for line in own)
    context = [
        line
        for line in lines
        if line.fields.get('peer') in tried
        and 'request_id' not in line.fields
        and until_s - _CONTEXT_S <= line.at_s <= until_s
    ]
    return sorted((*own, *context), key=lambda line: line.at_s)


def _read(path: Path) -> Sequence[LogLine]:
    try:
        text = path.read_text(encoding='utf-8', errors='replace')
    except OSError as error:
        fail(f'{path}: {error.strerror}')
    return tuple(read_lines(text.splitlines(), path.stem))


def _render(line: LogLine, first_s: float) -> str:
    told = ' '.join(
        f'{name}={content}'
        for name, content in line.fields.items()
        if name not in _LEFT_OUT
    )
    after_s = line.at_s - first_s
    return f'{after_s:+8.3f} s  {line.node}  {line.event}  {told}'
