"""Background deletion of old claims, one random key range at a time."""

import asyncio
import random
import time
from typing import Final

from carobmoor.idempotency._claims import clean_share
from carobmoor.store import Store

_KEEP_S: Final = 86_400
_INTERVAL_S: Final = 600
_SHARES: Final = 256


async def clean_claims(platform: Store, rng: random.Random) -> None:
    """Delete claims older than a day at random intervals, until cancelled.

    Every node runs this without coordination: the etag makes sure that only
    one of them deletes a row.
    """
    while True:
        await asyncio.sleep(_INTERVAL_S * (1 + rng.random()))
        prefix = f'{rng.randrange(_SHARES):02x}'
        await clean_share(platform, prefix, time.time() - _KEEP_S)
