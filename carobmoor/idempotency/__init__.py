"""Idempotency keys of plain callers, kept in the table service.

A key is claimed before anything is sent. Its row names the one ticket under
which every node sends its copies, and later the result.
"""

from carobmoor.idempotency._claims import (
    claim_key,
    clean_share,
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
    'clean_share',
    'decode_claim',
    'encode_claim',
    'keep_result',
    'release_key',
    'row_key_of',
]
