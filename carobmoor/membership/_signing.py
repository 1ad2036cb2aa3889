"""Signatures of messages between nodes, with the shared cluster key."""

import hashlib
import hmac
from typing import Final

_TAG_BYTES: Final = 16


def sign(key: bytes, body: bytes) -> bytes:
    """Return the 16-byte tag of a body; an empty key gives an empty tag."""
    if not key:
        return b''
    return hmac.digest(key, body, hashlib.sha256)[:_TAG_BYTES]


def is_signed(key: bytes, tag: bytes, body: bytes) -> bool:
    """Return whether the tag is that of the body under the key."""
    return hmac.compare_digest(sign(key, body), tag)


def seal(key: bytes, body: bytes) -> bytes:
    """Return the body with its tag in front."""
    return sign(key, body) + body


def unseal(key: bytes, sealed: bytes) -> bytes | None:
    """Return the body of a sealed message, or `None` if its tag is wrong."""
    tag_bytes = _TAG_BYTES if key else 0
    tag, body = sealed[:tag_bytes], sealed[tag_bytes:]
    return body if is_signed(key, tag, body) else None
