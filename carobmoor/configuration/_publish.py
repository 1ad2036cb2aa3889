"""Accepting a configuration: the body by digest, then the head by version."""

import uuid
from collections.abc import Sequence
from typing import Final, NamedTuple

import msgspec
import xxhash
from result import Err, Ok, Result

from carobmoor.configuration._document import Document
from carobmoor.platform import Platform, Row, StoreFailure

_TABLE: Final = 'configuration'
_HEAD_KEY: Final = 'head'
_BUCKET: Final = 'configuration'


class Head(NamedTuple):
    """The head row: the version in force and who made it so."""

    version: int
    digest: str
    submission_id: str
    operator: str
    reason: str


class Accepted(NamedTuple):
    """An accepted configuration with its body."""

    head: Head
    document: Document


class Conflict(NamedTuple):
    """Another operator was first; `current` is the head they made."""

    current: Head | None


PublishFailure = Conflict | StoreFailure


class Submission(NamedTuple):
    """What an operator submits on top of the version they have read."""

    document: Document
    base_version: int
    operator: str
    reason: str


async def publish(
    platform: Platform,
    submission: Submission,
) -> Result[Head, PublishFailure]:
    """Make a document the next version, or tell why not.

    The body is stored under its digest first, so that a head never names a
    body that isn't there. An answer lost on the way is settled by reading
    the head back and comparing the submission id.
    """
    body = msgspec.json.encode(submission.document, order='deterministic')
    digest = xxhash.xxh128_hexdigest(body)
    stored = await platform.put_object(_BUCKET, digest, body)
    if isinstance(stored, Err):
        return stored
    head = Head(
        submission.base_version + 1,
        digest,
        uuid.uuid4().hex,
        submission.operator,
        submission.reason,
    )
    return await _advance(platform, head)


async def read_head(
    platform: Platform,
) -> Result[Row | None, StoreFailure]:
    """Read the head row as it stands in the table service."""
    return await platform.get_row(_TABLE, _HEAD_KEY)


async def load_accepted(
    platform: Platform,
    head: Head,
) -> Result[Accepted, StoreFailure]:
    """Fetch the body that a head names."""
    fetched = await platform.get_object(_BUCKET, head.digest)
    if isinstance(fetched, Err):
        return fetched
    document = msgspec.json.decode(fetched.ok_value)
    return Ok(Accepted(head, document))


async def read_history(
    platform: Platform,
) -> Result[Sequence[Head], StoreFailure]:
    """List the accepted versions, oldest first."""
    listed = await platform.list_rows(_TABLE, 'version-')
    if isinstance(listed, Err):
        return listed
    return Ok([decode_head(row.content) for row in listed.ok_value])


def decode_head(content: bytes) -> Head:
    """Read a head row back; raises `msgspec.DecodeError`."""
    return msgspec.json.decode(content, type=Head)


async def _advance(
    platform: Platform,
    head: Head,
) -> Result[Head, PublishFailure]:
    read = await read_head(platform)
    if isinstance(read, Err):
        return read
    row = read.ok_value
    current = _head_in(row)
    if _version_of(current) != head.version - 1:
        return Err(Conflict(current))
    content = msgspec.json.encode(head)
    etag = '' if row is None else row.etag
    written = await platform.put_row(_TABLE, _HEAD_KEY, content, etag)
    if isinstance(written, Err):
        return await _settle(platform, head, written.err_value)
    await platform.put_row(_TABLE, f'version-{head.version:09d}', content, '')
    return Ok(head)


async def _settle(
    platform: Platform,
    head: Head,
    failure: StoreFailure,
) -> Result[Head, PublishFailure]:
    read = await read_head(platform)
    if isinstance(read, Err):
        return Err(failure)
    current = _head_in(read.ok_value)
    if current is not None and current.submission_id == head.submission_id:
        return Ok(current)
    return Err(Conflict(current))


def _head_in(row: Row | None) -> Head | None:
    return None if row is None else decode_head(row.content)


def _version_of(head: Head | None) -> int:
    return 0 if head is None else head.version
