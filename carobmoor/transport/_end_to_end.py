"""Removal of hop-by-hop headers."""

from collections.abc import Sequence
from typing import Final

from carobmoor.transport._messages import HeaderList

_HOP_HEADERS: Final = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'expect',
    ),
)


def end_to_end_headers(headers: HeaderList) -> Sequence[tuple[bytes, bytes]]:
    """Return the headers without the hop-by-hop ones.

    Those are the standard ones and any that `Connection` lists.
    """
    dropped = set(_HOP_HEADERS)
    for name, content in headers:
        if name == b'connection':
            dropped.update(map(bytes.strip, content.lower().split(b',')))
    return [header for header in headers if header[0] not in dropped]
