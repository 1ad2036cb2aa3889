"""Odd values for every place of a message, as another writer may leave them."""

import json
from collections.abc import Iterator, Mapping, Sequence
from typing import Any, Final

_MARK: Final = '@odd@'
_DEPTH: Final = 100_000
# Of which nobody can tell where it ends.
UNFINISHED: Final = b'[' * _DEPTH
# JSON texts, some of which no encoder writes.
ODD_VALUES: Final = (
    b'[' * _DEPTH + b']' * _DEPTH,
    b'{"a":' * _DEPTH + b'1' + b'}' * _DEPTH,
    UNFINISHED,
    b'9' * 30,
    b'9' * 400,
    b'9' * 5000,
    b'9223372036854775807',
    b'-1',
    b'1e999',
    b'1e30',
    b'0.5',
    b'null',
    b'true',
    b'""',
    b'"1e999s"',
    b'"%bms"' % (b'9' * 400),
    b'"r%b"' % (b'9' * 400),
    b'"10.1.0.8:70000"',
    b'"10.1.0.8:%b"' % (b'9' * 5000),
    *(
        text.replace('/', '\\').encode()
        for text in ('"127.0.9.9:/u0000"', '"/ud800"', '"/u20ac/r/nx: y"')
    ),
    b'"\xff"',
)


def odd_variants(message: object) -> Iterator[bytes]:
    """Yield the JSON of a message with an odd value at each of its places.

    A place is each field, at any depth, and one behind the last of each list
    and object.
    """
    for marked in _mark_places(message):
        encoded = json.dumps(marked).encode()
        for odd in ODD_VALUES:
            yield encoded.replace(json.dumps(_MARK).encode(), odd)


def _mark_places(part: object) -> Iterator[object]:
    yield _MARK
    if isinstance(part, Mapping):
        fields: Mapping[str, Any] = part
        for name, content in fields.items():
            for marked in _mark_places(content):
                yield {**fields, name: marked}
        yield {**fields, 'odd': _MARK}
    elif isinstance(part, Sequence) and not isinstance(part, str):
        items = list(part)
        for place, content in enumerate(items):
            for marked in _mark_places(content):
                yield [*items[:place], marked, *items[place + 1 :]]
        yield [*items, _MARK]
