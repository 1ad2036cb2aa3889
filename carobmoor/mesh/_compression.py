"""Compression of the operator's document as sent from node to node.

Traffic between zones is charged by the byte.
"""

import zlib
from typing import Final

from result import Err, Ok, Result

# The fastest level; it shrinks the repetitive documents to a tenth.
_COMPRESSION_LEVEL: Final = 1
# Size limit of one call to the store.
_MAX_BYTES: Final = 1_000_000


def pack_routes(document: bytes) -> bytes:
    """Compress a document, to be sent to another node."""
    return zlib.compress(document, _COMPRESSION_LEVEL)


def unpack_routes(compressed: bytes) -> Result[bytes, str]:
    """Decompress a document; `Err` says why that failed."""
    decompressor = zlib.decompressobj()
    try:
        document = decompressor.decompress(compressed, _MAX_BYTES)
    except zlib.error as error:
        return Err(str(error))
    if not decompressor.eof:
        return Err(f'document truncated, or more than {_MAX_BYTES} bytes')
    return Ok(document)
