"""Fingerprints that identify repeated sends of the same request."""

from collections.abc import Callable
from typing import Final, NamedTuple

import xxhash

# The start of a body that identifies it. It is short enough to be buffered
# before the request is sent, so that the digest is known in time.
IDENTIFIED_BODY_BYTES: Final = 65_536


class RequestIdentity(NamedTuple):
    """The properties of a request that its fingerprint is computed from."""

    service: str
    method: str
    # The path with its query.
    target: str
    caller: str
    # Empty if the caller sent none.
    idempotency_key: str
    # Returns the digest of the body's start, as far as it was read. Called for
    # each fingerprint, since a body may arrive while its request runs.
    digest_body: Callable[[], str]

    @property
    def route(self) -> str:
        """The path without the query."""
        return self.target.partition('?')[0]


class BodyDigest:
    """The digest by which a body is identified, computed as it is read.

    It covers the first `IDENTIFIED_BODY_BYTES`. What follows these, the length
    and the framing don't count: an upload that is sent again has the same
    digest, however its bytes were cut on their way.
    """

    def __init__(self) -> None:
        """Start with nothing read."""
        self._hash = xxhash.xxh3_64()
        self._missing_bytes = IDENTIFIED_BODY_BYTES

    @property
    def is_final(self) -> bool:
        """Whether what follows can't change the digest."""
        return not self._missing_bytes

    def feed(self, chunk: bytes) -> None:
        """Add the next part of the body, whatever its size."""
        if self._missing_bytes:
            start = chunk[: self._missing_bytes]
            self._hash.update(start)
            self._missing_bytes -= len(start)

    def hexdigest(self) -> str:
        """Return the digest of what was read so far."""
        return self._hash.hexdigest()


def digest_of_body(start: bytes) -> str:
    """Return the digest of a body of which `start` was read."""
    digest = BodyDigest()
    digest.feed(start)
    return digest.hexdigest()


def fingerprint_of(request: RequestIdentity) -> str:
    """Return a digest that is the same for every send of the same request.

    It covers the service, method and route, and the idempotency key if there
    is one; otherwise the caller, the query and the digest of the body.
    """
    parts = [request.service, request.method, request.route]
    if request.idempotency_key:
        parts.extend(('key', request.idempotency_key))
    else:
        parts.extend(
            ('caller', request.caller, request.target, request.digest_body())
        )
    return xxhash.xxh128_hexdigest('\0'.join(parts).encode())
