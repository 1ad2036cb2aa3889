"""Messages between nodes, signed with the cluster's shared key."""

import hashlib
import hmac
from typing import Final

_TAG_BYTES: Final = 16


def sign(key: bytes, body: bytes) -> bytes:
    """Give the tag of a body, 16 bytes; an empty key gives an empty tag."""
    if not key:
        return b''
    return hmac.digest(key, body, hashlib.sha256)[:_TAG_BYTES]


def is_signed(key: bytes, tag: bytes, body: bytes) -> bool:
    """Tell whether the tag is that of the body under the key."""
    return hmac.compare_digest(sign(key, body), tag)


def seal(key: bytes, body: bytes) -> bytes:
    """Put the tag before the body."""
    return sign(key, body) + body


def unseal(key: bytes, sealed: bytes) -> bytes | None:
    """Take a body out of its seal; `None` when the tag is not right."""
    tag_bytes = _TAG_BYTES if key else 0
    tag, body = sealed[:tag_bytes], sealed[tag_bytes:]
    return body if is_signed(key, tag, body) else None
