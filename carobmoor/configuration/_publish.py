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

from carobmoor.configuration._differences import Difference, find_differences
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
    EMPTY_MANIFEST,
    Head,
    HeadRow,
    ensure_history_row,
    load_document,
    load_manifest,
    read_head,
    read_version,
    store_objects,
    write_head,
)
from carobmoor.store import Store, StoreFailure, jitter_factor

_READ_BACK_ATTEMPTS: Final = 4
_READ_BACK_WAIT_S: Final = 0.3
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


class PublishedVersion(NamedTuple):
    """An accepted version, and what nodes need to put it in force."""

    head: Head
    pieces: Pieces
    # New digests by service; empty for a removed service.
    changed: Mapping[str, str]


async def publish(
    store: Store,
    submission: Submission,
) -> Result[PublishedVersion, PublishFailure]:
    """Publish a document as the version after its base version.

    Objects are stored first, so that a head never refers to a missing one. A
    submission id is accepted only once, however often it is submitted.
    """
    read = await read_head(store)
    if isinstance(read, Err):
        return read
    found = await _find_outcome(store, submission, read.ok_value)
    if found is not None:
        return found.map(
            lambda head: _make_published(head, submission, EMPTY_MANIFEST)
        )
    old = await load_manifest(store, read.ok_value.head)
    if isinstance(old, Err):
        return old
    prepared = await _prepare(store, submission, read.ok_value, old.ok_value)
    if isinstance(prepared, Err):
        return prepared
    advanced = await _write_next_head(store, submission, read.ok_value.etag)
    return advanced.map(
        lambda head: _make_published(head, submission, old.ok_value),
    )


async def load_version(
    store: Store,
    version: int,
) -> Result[Document | None, StoreFailure]:
    """Read the document of a version; `None` if there is no such version.

    The head counts even if its row of the history is missing.
    """
    read = await read_version(store, version)
    if isinstance(read, Err):
        return read
    head = read.ok_value
    if head is None:
        current = await read_head(store)
        if isinstance(current, Err):
            return current
        head = current.ok_value.head
    if head is None or head.version != version:
        return Ok(None)
    return await load_document(store, head)


async def _prepare(
    store: Store,
    submission: Submission,
    current: HeadRow,
    old: Manifest,
) -> Result[None, StoreFailure]:
    """Complete the history up to the current head, then store the objects."""
    if current.head is not None:
        repaired = await ensure_history_row(store, current.head)
        if isinstance(repaired, Err):
            return repaired
    pieces = split(submission.document)
    known = {old.common, *old.services.values()}
    return await store_objects(
        store,
        encode_document(submission.document),
        pieces.manifest,
        {
            digest: text
            for digest, text in pieces.texts.items()
            if digest not in known
        },
    )


async def _write_next_head(
    store: Store,
    submission: Submission,
    etag: str,
) -> Result[Head, PublishFailure]:
    head = _make_head(submission)
    written = await write_head(store, head, etag)
    if isinstance(written, Err):
        return await _read_back(store, submission, written.err_value)
    # If this write fails, the next writer adds the row.
    await ensure_history_row(store, head)
    return Ok(head)


async def _read_back(
    store: Store,
    submission: Submission,
    failure: StoreFailure,
) -> Result[Head, PublishFailure]:
    """Read back whether a write of the head that failed took effect."""
    for _ in range(_READ_BACK_ATTEMPTS):
        read = await read_head(store)
        if isinstance(read, Ok):
            found = await _find_outcome(store, submission, read.ok_value)
            if found is not None:
                return found
        await asyncio.sleep(_READ_BACK_WAIT_S * jitter_factor(_rng))
    # The head has not changed, but the write may still take effect later.
    return Err(OutcomeUnknown(submission.submission_id, failure))


async def _find_outcome(
    store: Store,
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
        read = await read_version(store, submission.base_version + 1)
        if isinstance(read, Err):
            return Err(
                OutcomeUnknown(submission.submission_id, read.err_value),
            )
        earlier = read.ok_value
        if earlier is not None and _is_from(earlier, submission):
            return Ok(earlier)
    return Err(await _make_conflict(store, submission, current))


async def _make_conflict(
    store: Store,
    submission: Submission,
    current: HeadRow,
) -> Conflict:
    if current.head is None:
        return Conflict(None)
    base = await load_version(store, submission.base_version)
    after = await load_document(store, current.head)
    base_document = base.ok() or {'ranks': (), 'services': {}}
    if isinstance(after, Err):
        return Conflict(current.head)
    return Conflict(
        current.head,
        find_differences(base_document, after.ok_value),
    )


def _make_published(
    head: Head,
    submission: Submission,
    old: Manifest,
) -> PublishedVersion:
    pieces = split(submission.document)
    return PublishedVersion(
        head, pieces, changed_services(old, pieces.manifest)
    )


def _make_head(submission: Submission) -> Head:
    return Head(
        submission.base_version + 1,
        digest_of(encode_document(submission.document)),
        submission.submission_id,
        submission.operator,
        submission.reason,
        submission.submitted_s,
    )


def _is_from(head: Head, submission: Submission) -> bool:
    return head.submission_id == submission.submission_id
