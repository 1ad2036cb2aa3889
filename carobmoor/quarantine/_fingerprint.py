"""What makes two requests the same request."""

from typing import NamedTuple

import xxhash


class Suspect(NamedTuple):
    """A request as far as it matters whether it is the same as another."""

    service: str
    method: str
    # The path with its query.
    target: str
    caller: str
    # Empty when the caller gives none.
    idempotency_key: str
    # What of the body was at hand when the request came.
    first_chunk: bytes
    body_bytes: int

    @property
    def route(self) -> str:
        """The path without its query."""
        return self.target.partition('?')[0]


def fingerprint_of(suspect: Suspect) -> str:
    """Give the same short text for every sending of the same request.

    The idempotency key tells when there is one; otherwise the caller, the
    query, and the length and first chunk of the body do.
    """
    parts = [suspect.service, suspect.method, suspect.route]
    if suspect.idempotency_key:
        parts.extend(('key', suspect.idempotency_key))
    else:
        length = str(suspect.body_bytes)
        parts.extend(('caller', suspect.caller, suspect.target, length))
    digest = xxhash.xxh128('\0'.join(parts).encode())
    if not suspect.idempotency_key:
        digest.update(b'\0')
        digest.update(suspect.first_chunk)
    return digest.hexdigest()
