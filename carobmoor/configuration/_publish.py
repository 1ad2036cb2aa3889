"""Publishing a configuration: objects by digest first, then the head row.

The conditional write of the head row alone decides which submission is
accepted; there is no lease. The submission id makes publishing idempotent: a
client that does not know the outcome submits again with the same id.
"""

import asyncio
import random
from collections.abc import Mapping, Sequence
from typing import Final, NamedTuple

from result import Err, Ok, Result

from carobmoor.configuration._differences import Difference, differences
from carobmoor.configuration._document import Document
from carobmoor.configuration._pieces import (
    Manifest,
    Pieces,
    changed_services,
    digest_of,
    encode_document,
    split,
)
from carobmoor.configuration._store import (
    EMPTY,
    Head,
    HeadRow,
    load_document,
    load_manifest,
    read_head,
    read_version,
    store_bodies,
    write_head,
    write_history,
)
from carobmoor.store import Store, StoreFailure, jitter

_SETTLE_TRIES: Final = 4
_SETTLE_WAIT_S: Final = 0.3
_rng: Final = random.Random()


class Conflict(NamedTuple):
    """Another version was accepted first; `current` is the head."""

    current: Head | None
    # The fields changed since the base version of the submission.
    differences: Sequence[Difference] = ()


class OutcomeUnknown(NamedTuple):
    """The store did not confirm whether the submission was accepted.

    Submitting again with the same id is safe and resolves the outcome.
    """

    submission_id: str
    failure: StoreFailure


PublishFailure = Conflict | OutcomeUnknown | StoreFailure


class Submission(NamedTuple):
    """A document that an operator submits as the successor of a version."""

    document: Document
    base_version: int
    operator: str
    reason: str
    # Chosen by the client, so that it can submit again.
    submission_id: str
    # Unix time; informational only.
    submitted_s: int = 0


class Published(NamedTuple):
    """An accepted version, and what nodes need to put it in force."""

    head: Head
    pieces: Pieces
    # New digests by service; empty for a removed service.
    changed: Mapping[str, str]


async def publish(
    platform: Store,
    submission: Submission,
) -> Result[Published, PublishFailure]:
    """Publish a document as the version after its base version.

    Objects are stored first, so that a head never refers to a missing one. A
    submission id is accepted only once, however often it is submitted.
    """
    read = await read_head(platform)
    if isinstance(read, Err):
        return read
    found = await _find(platform, submission, read.ok_value)
    if found is not None:
        return found.map(lambda head: _published(head, submission, EMPTY))
    old = await load_manifest(platform, read.ok_value.head)
    if isinstance(old, Err):
        return old
    prepared = await _prepare(platform, submission, read.ok_value, old.ok_value)
    if isinstance(prepared, Err):
        return prepared
    advanced = await _advance(platform, submission, read.ok_value.etag)
    return advanced.map(
        lambda head: _published(head, submission, old.ok_value),
    )


async def load_version(
    platform: Store,
    version: int,
) -> Result[Document | None, StoreFailure]:
    """Read the document of a version; `None` if there is no such version.

    The head counts even if its row of the history is missing.
    """
    read = await read_version(platform, version)
    if isinstance(read, Err):
        return read
    head = read.ok_value
    if head is None:
        current = await read_head(platform)
        if isinstance(current, Err):
            return current
        head = current.ok_value.head
    if head is None or head.version != version:
        return Ok(None)
    return await load_document(platform, head)


async def _prepare(
    platform: Store,
    submission: Submission,
    current: HeadRow,
    old: Manifest,
) -> Result[None, StoreFailure]:
    """Complete the history up to the current head, then store the objects."""
    if current.head is not None:
        repaired = await write_history(platform, current.head)
        if isinstance(repaired, Err):
            return repaired
    pieces = split(submission.document)
    known = {old.common, *old.services.values()}
    return await store_bodies(
        platform,
        encode_document(submission.document),
        pieces.manifest,
        {
            digest: text
            for digest, text in pieces.texts.items()
            if digest not in known
        },
    )


async def _advance(
    platform: Store,
    submission: Submission,
    etag: str,
) -> Result[Head, PublishFailure]:
    head = _head_of(submission)
    written = await write_head(platform, head, etag)
    if isinstance(written, Err):
        return await _settle(platform, submission, written.err_value)
    # If this write fails, the next writer adds the row.
    await write_history(platform, head)
    return Ok(head)


async def _settle(
    platform: Store,
    submission: Submission,
    failure: StoreFailure,
) -> Result[Head, PublishFailure]:
    """Read back whether a write of the head that failed took effect."""
    for _ in range(_SETTLE_TRIES):
        read = await read_head(platform)
        if isinstance(read, Ok):
            found = await _find(platform, submission, read.ok_value)
            if found is not None:
                return found
        await asyncio.sleep(_SETTLE_WAIT_S * jitter(_rng))
    # The head has not changed, but the write may still take effect later.
    return Err(OutcomeUnknown(submission.submission_id, failure))


async def _find(
    platform: Store,
    submission: Submission,
    current: HeadRow,
) -> Result[Head, PublishFailure] | None:
    """Return the outcome of a submission; `None` if it can be accepted."""
    head = current.head
    if head is not None and head.submission_id == submission.submission_id:
        return Ok(head)
    if current.version == submission.base_version:
        return None
    if current.version > submission.base_version:
        read = await read_version(platform, submission.base_version + 1)
        if isinstance(read, Err):
            return Err(
                OutcomeUnknown(submission.submission_id, read.err_value),
            )
        earlier = read.ok_value
        if earlier is not None and _is_of(earlier, submission):
            return Ok(earlier)
    return Err(await _conflict(platform, submission, current))


async def _conflict(
    platform: Store,
    submission: Submission,
    current: HeadRow,
) -> Conflict:
    if current.head is None:
        return Conflict(None)
    base = await load_version(platform, submission.base_version)
    after = await load_document(platform, current.head)
    base_document = base.ok() or {'ranks': (), 'services': {}}
    if isinstance(after, Err):
        return Conflict(current.head)
    return Conflict(
        current.head,
        differences(base_document, after.ok_value),
    )


def _published(
    head: Head,
    submission: Submission,
    old: Manifest,
) -> Published:
    pieces = split(submission.document)
    return Published(head, pieces, changed_services(old, pieces.manifest))


def _head_of(submission: Submission) -> Head:
    return Head(
        submission.base_version + 1,
        digest_of(encode_document(submission.document)),
        submission.submission_id,
        submission.operator,
        submission.reason,
        submission.submitted_s,
    )


def _is_of(head: Head, submission: Submission) -> bool:
    return head.submission_id == submission.submission_id
