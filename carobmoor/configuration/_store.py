"""Reading and writing the configuration in the platform's store.

The table `configuration` holds the head row and one row per version. The
bucket `configuration` holds whole documents, manifests and pieces by digest.
"""

import asyncio
from collections.abc import Mapping, Sequence
from typing import Final, NamedTuple

import msgspec
from result import Err, Ok, Result

from carobmoor.configuration._document import Document
from carobmoor.configuration._pieces import Manifest, digest_of
from carobmoor.decoding import decode_json
from carobmoor.store import Row, Store, StoreFailure, StoreFault

_TABLE: Final = 'configuration'
_HEAD_KEY: Final = 'head'
_BUCKET: Final = 'configuration'
_MAX_CONCURRENT_WRITES: Final = 8
EMPTY_MANIFEST: Final = Manifest('', {})


class Head(NamedTuple):
    """The head row: the accepted version and who submitted it."""

    version: int
    # The digest of the whole document.
    digest: str
    submission_id: str
    operator: str
    reason: str
    # Unix time at the node that received the submission; informational only.
    submitted_s: int = 0


class AcceptedVersion(NamedTuple):
    """A version in force, with the part of its document that a node holds."""

    head: Head
    document: Document


class HeadRow(NamedTuple):
    """The head row, with the tag that a write of the next head must match."""

    head: Head | None
    etag: str

    @property
    def version(self) -> int:
        """The version, or 0 if there is none yet."""
        return 0 if self.head is None else self.head.version


async def read_head(store: Store) -> Result[HeadRow, StoreFailure]:
    """Read the head row.

    The store may return the row as it was before the last write.
    """
    read = await store.get_row(_TABLE, _HEAD_KEY)
    return read.map(_head_row)


async def write_head(
    store: Store,
    head: Head,
    etag: str,
) -> Result[Row, StoreFailure]:
    """Replace the head row if its tag is still `etag`."""
    content = msgspec.json.encode(head)
    return await store.put_row(_TABLE, _HEAD_KEY, content, etag)


async def ensure_history_row(
    store: Store,
    head: Head,
) -> Result[None, StoreFailure]:
    """Ensure that the history has a row for this version."""
    content = msgspec.json.encode(head)
    key = _history_key(head.version)
    written = await store.put_row(_TABLE, key, content, '')
    if isinstance(written, Err):
        has_row = written.err_value.fault is StoreFault.PRECONDITION
        return Ok(None) if has_row else written
    return Ok(None)


async def read_version(
    store: Store,
    version: int,
) -> Result[Head | None, StoreFailure]:
    """Read the row of a version in the history; `None` if there is none."""
    read = await store.get_row(_TABLE, _history_key(version))
    return read.map(lambda row: _head_row(row).head)


async def read_history(
    store: Store,
) -> Result[Sequence[Head], StoreFailure]:
    """List the accepted versions, oldest first.

    The head is included even if its writer died before it wrote the row of
    the history.
    """
    listed = await store.list_rows(_TABLE, 'version-')
    if isinstance(listed, Err):
        return listed
    read = await read_head(store)
    if isinstance(read, Err):
        return read
    heads = [_decode_head(row) for row in listed.ok_value]
    head = read.ok_value.head
    if head is not None and head not in heads:
        heads.append(head)
    return Ok(heads)


async def load_document(
    store: Store,
    head: Head,
) -> Result[Document, StoreFailure]:
    """Read the whole document of a version."""
    fetched = await store.get_object(_BUCKET, head.digest)
    return fetched.map(decode_json)


async def load_manifest(
    store: Store,
    head: Head | None,
) -> Result[Manifest, StoreFailure]:
    """Read the manifest of a version; an empty one if there is no head."""
    if head is None:
        return Ok(EMPTY_MANIFEST)
    key = _manifest_key(head.digest)
    fetched = await store.get_object(_BUCKET, key)
    return fetched.map(
        lambda body: decode_json(body, Manifest),
    )


async def load_piece(store: Store, digest: str) -> str | None:
    """Read a piece; `None` if it cannot be read or its digest is wrong."""
    fetched = await store.get_object(_BUCKET, digest)
    if isinstance(fetched, Err):
        return None
    body: bytes = fetched.ok_value
    return body.decode() if digest_of(body) == digest else None


async def store_objects(
    store: Store,
    document: bytes,
    manifest: Manifest,
    texts: Mapping[str, str],
) -> Result[None, StoreFailure]:
    """Write a document, its manifest and the given pieces to the bucket."""
    digest = digest_of(document)
    body_by_key = {digest: document}
    body_by_key[_manifest_key(digest)] = msgspec.json.encode(manifest)
    body_by_key.update({key: text.encode() for key, text in texts.items()})
    limit = asyncio.Semaphore(_MAX_CONCURRENT_WRITES)

    async def put(key: str, body: bytes) -> Result[None, StoreFailure]:
        async with limit:
            return await store.put_object(_BUCKET, key, body)

    stored = await asyncio.gather(
        *(put(key, body) for key, body in body_by_key.items()),
    )
    failed = [outcome for outcome in stored if isinstance(outcome, Err)]
    return failed[0] if failed else Ok(None)


def _head_row(row: Row | None) -> HeadRow:
    if row is None:
        return HeadRow(None, '')
    return HeadRow(_decode_head(row), row.etag)


def _decode_head(row: Row) -> Head:
    return decode_json(row.content, Head)


def _history_key(version: int) -> str:
    return f'version-{version:09d}'


def _manifest_key(digest: str) -> str:
    return f'manifest-{digest}'
