"""Compressed documents are restored exactly; damaged ones are refused."""

from nose2.tools import params

from carobmoor.mesh._compression import pack_routes, unpack_routes

DOCUMENT = b'{"routes": []}' * 100
TOO_LARGE = b' ' * 1_000_001


@params(b'', DOCUMENT)
def test_decompression_restores_the_document(document):
    """Decompression restores the original document."""
    assert unpack_routes(pack_routes(document)).ok() == document


def test_document_shrinks_to_less_than_a_tenth():
    """A repetitive document shrinks to less than a tenth."""
    assert len(pack_routes(DOCUMENT)) * 10 < len(DOCUMENT)


@params(
    ('empty', b''),
    ('no packing', DOCUMENT),
    ('cut short', pack_routes(DOCUMENT)[:-5]),
    ('too large', pack_routes(TOO_LARGE)),
)
def test_damaged_document_is_refused(_, compressed):
    """Bytes that are not one whole document are refused."""
    assert unpack_routes(compressed).is_err()
