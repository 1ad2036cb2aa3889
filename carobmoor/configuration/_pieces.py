"""Splitting a document into pieces, so that a node holds only what it needs.

The common piece is everything except the services, such as the ranks. Each
service is a piece of its own. A manifest lists the digest of every piece. A
node holds the manifest, the common piece, its own service and the services to
which it recently forwarded requests of plain callers.
"""

from collections.abc import Mapping, Sequence
from typing import Any, Final, NamedTuple

import msgspec
import xxhash

from carobmoor.configuration._document import Document, ServiceDocument
from carobmoor.decoding import decode_json

_SERVICES: Final = 'services'


class Manifest(NamedTuple):
    """The digests of the pieces of one version."""

    common: str
    # Digests by service.
    services: Mapping[str, str]

    def digests_for(self, services: Sequence[str]) -> Sequence[str]:
        """Return the digests of the pieces that these services need.

        Undeclared services are left out.
        """
        declared = [self.services.get(service, '') for service in services]
        return [self.common, *filter(None, declared)]


class Pieces(NamedTuple):
    """A manifest, and its pieces as JSON text by digest."""

    manifest: Manifest
    texts: Mapping[str, str]


def encode_document(document: Document) -> bytes:
    """Encode a document as the bytes from which its digest is computed."""
    return msgspec.json.encode(document, order='deterministic')


def digest_of(text: str | bytes) -> str:
    """Return the digest that identifies an object or a piece."""
    body = text.encode() if isinstance(text, str) else text
    return xxhash.xxh128_hexdigest(body)


def split(document: Document) -> Pieces:
    """Split a document into its pieces."""
    texts = {
        service: _encode_part(declared)
        for service, declared in document['services'].items()
    }
    common = _encode_part(_without_services(document))
    manifest = Manifest(
        digest_of(common),
        {service: digest_of(text) for service, text in texts.items()},
    )
    by_digest = {digest_of(text): text for text in texts.values()}
    return Pieces(manifest, {manifest.common: common, **by_digest})


def assemble(
    manifest: Manifest,
    texts: Mapping[str, str],
    services: Sequence[str],
) -> Document:
    """Build a document from the common piece and some services.

    Undeclared services are left out. Raises `KeyError` if a piece is missing.
    """
    declared: dict[str, ServiceDocument] = {}
    for service in services:
        digest = manifest.services.get(service)
        if digest is not None:
            declared[service] = decode_json(texts[digest])
    common: Any = decode_json(texts[manifest.common])
    document: Any = {**common, _SERVICES: declared}
    return document


def changed_services(old: Manifest, new: Manifest) -> Mapping[str, str]:
    """Return the new digests of services that differ; empty if removed."""
    changed = {
        service: digest
        for service, digest in new.services.items()
        if old.services.get(service) != digest
    }
    removed = old.services.keys() - new.services.keys()
    return {**changed, **dict.fromkeys(removed, '')}


def _without_services(document: Document) -> Mapping[str, object]:
    return {
        name: section for name, section in document.items() if name != _SERVICES
    }


def _encode_part(part: object) -> str:
    return msgspec.json.encode(part, order='deterministic').decode()
