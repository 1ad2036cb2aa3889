"""Idempotency keys of plain HTTP callers.

A key is claimed in the table service before its request is sent. The row holds
the one ticket that every node sends its copies of the request with, and later
the result.
"""

from carobmoor.idempotency._claims import (
    claim_key,
    delete_old_claims,
    keep_result,
    release_key,
    row_key_of,
)
from carobmoor.idempotency._clean import clean_claims
from carobmoor.idempotency._messages import (
    Claim,
    ResultRow,
    decode_claim,
    encode_claim,
)

__all__ = [
    'Claim',
    'ResultRow',
    'claim_key',
    'clean_claims',
    'decode_claim',
    'delete_old_claims',
    'encode_claim',
    'keep_result',
    'release_key',
    'row_key_of',
]
