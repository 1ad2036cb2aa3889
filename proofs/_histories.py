"""Reads the histories of several processes and merges them."""

from collections.abc import Iterable
from pathlib import Path

from carobmoor.history import Event, decode_event
from proofs._types import History


def read_histories(paths: Iterable[Path]) -> History:
    """Read history files and return their events ordered by time.

    A last line without a line end is dropped: a killed writer left it
    unfinished. Raises `ValueError` with file and line number if a line is
    not an event.
    """
    events: list[Event] = []
    for path in paths:
        complete, _, _ = path.read_bytes().rpartition(b'\n')
        for number, line in enumerate(complete.splitlines(), 1):
            events.append(_decode(path, number, line))
    return sorted(events, key=lambda event: event.at_s)


def _decode(path: Path, number: int, line: bytes) -> Event:
    try:
        return decode_event(line)
    except (ValueError, TypeError) as error:
        raise ValueError(f'{path}:{number}: {error}') from error
