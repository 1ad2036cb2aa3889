"""Claiming keys in the table service, by insert-if-absent."""

import hashlib
from typing import Final

from result import Err, Ok, Result

from carobmoor.idempotency._messages import Claim, decode_claim, encode_claim
from carobmoor.store import Row, Store, StoreFailure, StoreFault

_TABLE: Final = 'idempotency'
_DIGEST_BYTES: Final = 16
_MOST_DELETED: Final = 20


def row_key_of(caller: str, key: str) -> str:
    """Name the row of a caller's key."""
    joined = f'{len(caller)} {caller} {key}'.encode()
    return hashlib.blake2b(joined, digest_size=_DIGEST_BYTES).hexdigest()


async def claim_key(
    platform: Store,
    row_key: str,
    claim: Claim,
) -> Result[Row, StoreFailure]:
    """Claim a key, or give the row that stands under it already.

    A write whose answer was lost is settled by reading the row back; with
    nothing there the key is not claimed.
    """
    content = encode_claim(claim)
    written = await platform.put_row(_TABLE, row_key, content, '')
    if isinstance(written, Ok):
        return Ok(written.ok_value._replace(content=content))
    read = await platform.get_row(_TABLE, row_key)
    if isinstance(read, Err):
        return read
    return written if read.ok_value is None else Ok(read.ok_value)


async def keep_result(
    platform: Store,
    row: Row,
    claim: Claim,
) -> bool:
    """Write the result of a claimed request, unless the row has changed."""
    content = encode_claim(claim)
    written = await platform.put_row(_TABLE, row.key, content, row.etag)
    return isinstance(written, Ok)


async def release_key(platform: Store, row: Row) -> bool:
    """Take a claim back whose request surely did not run."""
    deleted = await platform.delete_row(_TABLE, row.key, row.etag)
    if isinstance(deleted, Ok):
        return True
    return deleted.err_value.fault is StoreFault.MISSING


async def clean_share(
    platform: Store,
    prefix: str,
    oldest_s: float,
) -> int:
    """Delete some rows of a share of the keys that are older than wanted."""
    listed = await platform.list_rows(_TABLE, prefix)
    if isinstance(listed, Err):
        return 0
    old = [
        row
        for row in listed.ok_value
        if decode_claim(row.content).claimed_at_s < oldest_s
    ]
    deleted = [await release_key(platform, row) for row in old[:_MOST_DELETED]]
    return sum(deleted)
