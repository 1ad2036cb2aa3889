"""Background deletion of old claims, one random key range at a time."""

import asyncio
import random
import time
from typing import Final

from carobmoor.idempotency._claims import delete_old_claims
from carobmoor.store import Store

_RETENTION_S: Final = 86_400
_INTERVAL_S: Final = 600
_PREFIX_COUNT: Final = 256


async def delete_old_claims_periodically(
    store: Store, rng: random.Random
) -> None:
    """Delete claims older than a day at random intervals, until cancelled.

    Every node runs this without coordination: the etag makes sure that only
    one of them deletes a row.
    """
    while True:
        await asyncio.sleep(_INTERVAL_S * (1 + rng.random()))
        prefix = f'{rng.randrange(_PREFIX_COUNT):02x}'
        await delete_old_claims(store, prefix, time.time() - _RETENTION_S)
