"""Idempotency keys of plain HTTP callers.

A key is claimed in the table service before its request is sent. The row holds
the one ticket that every node sends its copies of the request with, and later
the result.
"""

from carobmoor.idempotency._claims import (
    claim_key,
    delete_old_claims,
    release_key,
    row_key_of,
    store_result,
)
from carobmoor.idempotency._clean import delete_old_claims_periodically
from carobmoor.idempotency._messages import (
    Claim,
    StoredResult,
    decode_claim,
    encode_claim,
)

__all__ = [
    'Claim',
    'StoredResult',
    'claim_key',
    'decode_claim',
    'delete_old_claims',
    'delete_old_claims_periodically',
    'encode_claim',
    'release_key',
    'row_key_of',
    'store_result',
]
