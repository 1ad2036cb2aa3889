"""The task that deletes old claims; every node does a random share."""

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
    """Delete old claims at a random pace until cancelled.

    No node is in charge: a row that two of them meet is deleted once, by its
    tag.
    """
    while True:
        await asyncio.sleep(_INTERVAL_S * (1 + rng.random()))
        prefix = f'{rng.randrange(_SHARES):02x}'
        await clean_share(platform, prefix, time.time() - _KEEP_S)
