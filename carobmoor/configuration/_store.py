"""Reading and writing the configuration in the platform's store.

The table `configuration` holds the head row and one row per version. The
bucket `configuration` holds whole documents, manifests and pieces by digest.
"""

import asyncio
from collections.abc import Callable, Mapping, Sequence
from typing import Any, Final, NamedTuple

import msgspec
from result import Err, Ok, Result

from carobmoor.configuration._document import Document
from carobmoor.configuration._pieces import Manifest, digest_of
from carobmoor.decoding import Count, decoder_of
from carobmoor.store import Row, Store, StoreFailure, StoreFault
from carobmoor.telemetry import logger_for

_TABLE: Final = 'configuration'
_HEAD_KEY: Final = 'head'
_BUCKET: Final = 'configuration'
_MAX_CONCURRENT_WRITES: Final = 8
EMPTY_MANIFEST: Final = Manifest('', {})
_log = logger_for('configuration')


class Head(NamedTuple):
    """The head row: the accepted version and who submitted it."""

    version: Count
    # The digest of the whole document.
    digest: str
    submission_id: str
    operator: str
    reason: str
    # Unix time at the node that received the submission; informational only.
    submitted_s: Count = 0


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
    return read.and_then(_head_row)


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
    return read.and_then(_head_row).map(lambda row: row.head)


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
    decoded = [_decode_head(row.content) for row in listed.ok_value]
    heads = [one.ok_value for one in decoded if isinstance(one, Ok)]
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
    return fetched.and_then(_decode_document)


async def load_manifest(
    store: Store,
    head: Head | None,
) -> Result[Manifest, StoreFailure]:
    """Read the manifest of a version; an empty one if there is no head."""
    if head is None:
        return Ok(EMPTY_MANIFEST)
    key = _manifest_key(head.digest)
    fetched = await store.get_object(_BUCKET, key)
    return fetched.and_then(_decode_manifest)


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


def _head_row(row: Row | None) -> Result[HeadRow, StoreFailure]:
    if row is None:
        return Ok(HeadRow(None, ''))
    etag = row.etag
    return _decode_head(row.content).map(lambda head: HeadRow(head, etag))


def _reader_of(expected_type: Any) -> Callable[[bytes], Result[Any, Any]]:
    """Return a function that decodes a row or an object, or fails.

    Another writer may have left it.
    """
    decode = decoder_of(expected_type)

    def read(content: bytes) -> Result[Any, StoreFailure]:
        try:
            return Ok(decode(content))
        except msgspec.DecodeError as error:
            _log.warning('Content unreadable.', reason=str(error))
            fault = StoreFault.UNAVAILABLE
            return Err(StoreFailure(fault, 'decode', _TABLE, str(error)))

    return read


_decode_head = _reader_of(Head)
_decode_document = _reader_of(dict[str, Any])
_decode_manifest = _reader_of(Manifest)


def _history_key(version: int) -> str:
    return f'version-{version:09d}'


def _manifest_key(digest: str) -> str:
    return f'manifest-{digest}'
