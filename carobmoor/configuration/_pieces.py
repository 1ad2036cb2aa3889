"""A document in pieces, so that each node holds only what it needs.

The common piece is everything but the services: the ranks. Each service is a
piece of its own. A manifest names every piece by its digest. A node holds
the manifest, the common piece, its own service and those services to which
it lately forwarded plain callers' requests.
"""

from collections.abc import Mapping, Sequence
from typing import Any, Final, NamedTuple

import msgspec
import xxhash

from carobmoor.configuration._document import Document, ServiceDocument

_SERVICES: Final = 'services'


class Manifest(NamedTuple):
    """The digests of the pieces of one version."""

    common: str
    # By the service's name.
    services: Mapping[str, str]

    def digests_for(self, services: Sequence[str]) -> Sequence[str]:
        """Give the digests of what a node needs for some services."""
        declared = [self.services.get(service, '') for service in services]
        return [self.common, *filter(None, declared)]


class Pieces(NamedTuple):
    """A manifest, and pieces as JSON text by their digest."""

    manifest: Manifest
    texts: Mapping[str, str]


def encode_document(document: Document) -> bytes:
    """Write a document as the bytes of which its digest is taken."""
    return msgspec.json.encode(document, order='deterministic')


def digest_of(text: str | bytes) -> str:
    """Give the digest by which an object or a piece is known."""
    body = text.encode() if isinstance(text, str) else text
    return xxhash.xxh128_hexdigest(body)


def split(document: Document) -> Pieces:
    """Cut a document into its pieces."""
    texts = {
        service: _text(declared)
        for service, declared in document['services'].items()
    }
    common = _text(_without_services(document))
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
    """Join the common piece and some services; undeclared ones are left out.

    Raises `KeyError` when a piece is not there.
    """
    declared: dict[str, ServiceDocument] = {}
    for service in services:
        digest = manifest.services.get(service)
        if digest is not None:
            declared[service] = msgspec.json.decode(texts[digest])
    common: Any = msgspec.json.decode(texts[manifest.common])
    document: Any = {**common, _SERVICES: declared}
    return document


def changed_services(old: Manifest, new: Manifest) -> Mapping[str, str]:
    """Give the new digests of services that differ; empty where removed."""
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


def _text(part: object) -> str:
    return msgspec.json.encode(part, order='deterministic').decode()
