"""Fingerprints that identify repeated sends of the same request."""

from typing import NamedTuple

import xxhash


class RequestIdentity(NamedTuple):
    """The properties of a request that its fingerprint is computed from."""

    service: str
    method: str
    # The path with its query.
    target: str
    caller: str
    # Empty if the caller sent none.
    idempotency_key: str
    # The part of the body at hand on arrival. A mesh owner passes the digest
    # of the body instead, which the hop carries.
    first_chunk: bytes
    body_bytes: int

    @property
    def route(self) -> str:
        """The path without the query."""
        return self.target.partition('?')[0]


def fingerprint_of(request: RequestIdentity) -> str:
    """Return a digest that is the same for every send of the same request.

    It covers the service, method and route, and the idempotency key if there
    is one; otherwise the caller, the query, and the length and first chunk of
    the body.
    """
    parts = [request.service, request.method, request.route]
    if request.idempotency_key:
        parts.extend(('key', request.idempotency_key))
    else:
        length = str(request.body_bytes)
        parts.extend(('caller', request.caller, request.target, length))
    digest = xxhash.xxh128('\0'.join(parts).encode())
    if not request.idempotency_key:
        digest.update(b'\0')
        digest.update(request.first_chunk)
    return digest.hexdigest()
