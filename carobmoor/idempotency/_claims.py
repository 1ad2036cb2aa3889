"""Claims of idempotency keys, as insert-if-absent in the table service."""

import hashlib
from typing import Final

import msgspec
from result import Err, Ok, Result

from carobmoor.idempotency._messages import Claim, decode_claim, encode_claim
from carobmoor.store import Row, Store, StoreFailure, StoreFault
from carobmoor.telemetry import logger_for

_TABLE: Final = 'idempotency'
_DIGEST_BYTES: Final = 16
_MAX_DELETED_ROWS: Final = 20
_log = logger_for('keys')


def row_key_of(caller: str, key: str) -> str:
    """Return the row key for an idempotency key of a caller."""
    joined = f'{len(caller)} {caller} {key}'.encode()
    return hashlib.blake2b(joined, digest_size=_DIGEST_BYTES).hexdigest()


async def claim_key(
    store: Store,
    row_key: str,
    claim: Claim,
) -> Result[Row, StoreFailure]:
    """Claim a key, or return the row that exists already.

    After a failed write the row is read back, since only the answer may have
    been lost; the row may then be that of this very claim. If there is no row,
    the key is not claimed and the failure of the write is returned.
    """
    content = encode_claim(claim)
    written = await store.put_row(_TABLE, row_key, content, '')
    if isinstance(written, Ok):
        return Ok(written.ok_value._replace(content=content))
    read = await store.get_row(_TABLE, row_key)
    if isinstance(read, Err):
        return read
    return written if read.ok_value is None else Ok(read.ok_value)


async def store_result(
    store: Store,
    row: Row,
    claim: Claim,
) -> bool:
    """Store the result of a claimed request unless its row has changed.

    Returns whether it was stored.
    """
    content = encode_claim(claim)
    written = await store.put_row(_TABLE, row.key, content, row.etag)
    return isinstance(written, Ok)


async def release_key(store: Store, row: Row) -> bool:
    """Delete the claim of a request that certainly did not run.

    Returns whether the row is gone.
    """
    deleted = await store.delete_row(_TABLE, row.key, row.etag)
    if isinstance(deleted, Ok):
        return True
    return deleted.err_value.fault is StoreFault.MISSING


async def delete_old_claims(
    store: Store,
    prefix: str,
    claimed_before_s: float,
) -> int:
    """Delete claims with a key prefix that were made before a time.

    Deletes at most 20 rows and returns how many are gone.
    """
    listed = await store.list_rows(_TABLE, prefix)
    if isinstance(listed, Err):
        return 0
    expired = [
        row for row in listed.ok_value if _is_older(row, claimed_before_s)
    ]
    deleted = [
        await release_key(store, row) for row in expired[:_MAX_DELETED_ROWS]
    ]
    return sum(deleted)


def _is_older(row: Row, claimed_before_s: float) -> bool:
    """Return whether a claim may be deleted; an unreadable one may not."""
    try:
        return decode_claim(row.content).claimed_at_s < claimed_before_s
    except msgspec.DecodeError as error:
        _log.warning('Claim unreadable, kept.', row=row.key, reason=str(error))
        return False
