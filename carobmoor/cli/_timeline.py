"""The log lines of several nodes about one request, in order of time."""

import sys
from collections.abc import Iterable, Iterator, Mapping, Sequence
from datetime import datetime
from pathlib import Path
from typing import Any, Final, NamedTuple

import msgspec
from fire.decorators import SetParseFn

from carobmoor.cli._output import fail
from carobmoor.decoding import decoder_of

# How long before the last line of a request the lines about its owners are
# included.
_CONTEXT_S: Final = 5
_HIDDEN_FIELDS: Final = frozenset(('event', 'timestamp', 'level', 'request_id'))
_decode: Final = decoder_of(dict[str, Any])


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
    lines = [line for log in logs for line in _read_log(Path(log))]
    selected = select_lines(lines, request_id)
    if not selected:
        fail(f'none of {len(lines)} log lines is about request {request_id}')
    start_s = selected[0].at_s
    for line in selected:
        sys.stdout.write(f'{_render_line(line, start_s)}\n')


def parse_lines(text: Iterable[str], node: str) -> Iterator[LogLine]:
    """Parse log lines and skip all other lines.

    A log collector may have put a time and the node's name before each line;
    that name takes precedence over `node`.
    """
    for raw in text:
        prefix, brace, rest = raw.partition('{')
        try:
            fields = _decode(f'{brace}{rest}'.strip())
            logged_at = datetime.fromisoformat(str(fields.get('timestamp', '')))
        except (msgspec.DecodeError, ValueError):
            continue
        prefix_words = prefix.split()
        event = str(fields.get('event', ''))
        yield LogLine(
            logged_at.timestamp(),
            prefix_words[-1] if prefix_words else node,
            event,
            fields,
        )


def select_lines(
    lines: Sequence[LogLine],
    request_id: str,
) -> Sequence[LogLine]:
    """Return the lines about a request and the owners it tried, by time."""
    own_lines = [
        line for line in lines if line.fields.get('request_id') == request_id
    ]
    if not own_lines:
        return ()
    tried_owners = {
        owner for line in own_lines for owner in line.fields.get('tried', ())
    }
    end_s = max(line.at_s for line in own_lines)
    context_lines = [
        line
        for line in lines
        if line.fields.get('peer') in tried_owners
        and 'request_id' not in line.fields
        and end_s - _CONTEXT_S <= line.at_s <= end_s
    ]
    return sorted((*own_lines, *context_lines), key=lambda line: line.at_s)


def _read_log(path: Path) -> Sequence[LogLine]:
    try:
        text = path.read_text(encoding='utf-8', errors='replace')
    except OSError as error:
        fail(f'cannot read {path}: {error.strerror}')
    return tuple(parse_lines(text.splitlines(), path.stem))


def _render_line(line: LogLine, start_s: float) -> str:
    rendered_fields = ' '.join(
        f'{name}={content}'
        for name, content in line.fields.items()
        if name not in _HIDDEN_FIELDS
    )
    elapsed_s = line.at_s - start_s
    return f'{elapsed_s:+8.3f} s  {line.node}  {line.event}  {rendered_fields}'
