"""The operator's document as one node gives it to another.

It is packed, since bytes between zones are priced.
"""

import zlib
from typing import Final

from result import Err, Ok, Result

# The fastest level; documents are repetitive and shrink to a tenth with it.
_LEVEL: Final = 1
# What one call to the store holds at most.
_MOST_BYTES: Final = 1_000_000


def pack_routes(document: bytes) -> bytes:
    """Pack a document."""
    return zlib.compress(document, _LEVEL)


def unpack_routes(packed: bytes) -> Result[bytes, str]:
    """Unpack a document; `Err` says why that can't be done."""
    unpacking = zlib.decompressobj()
    try:
        document = unpacking.decompress(packed, _MOST_BYTES)
    except zlib.error as error:
        return Err(str(error))
    if not unpacking.eof:
        return Err(f'cut short, or more than {_MOST_BYTES} bytes')
    return Ok(document)
