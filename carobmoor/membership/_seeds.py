"""First contact: a few rows per region in the table service."""

from collections.abc import Sequence
from typing import Final

from result import Err

from carobmoor.platform import Platform
from carobmoor.transport import Address, parse_address

_TABLE: Final = 'seeds'
_SLOTS_PER_REGION: Final = 3


async def announce(platform: Platform, region: str, address: Address) -> bool:
    """Take a free seed row of the region; tell whether one was taken."""
    content = str(address).encode()
    for slot in range(_SLOTS_PER_REGION):
        key = f'{region}/{slot}'
        written = await platform.put_row(_TABLE, key, content, '')
        if written.is_ok():
            return True
    return False


async def read_seeds(platform: Platform) -> Sequence[Address]:
    """Read the seeds of every region; none when the store is down."""
    listed = await platform.list_rows(_TABLE, '')
    if isinstance(listed, Err):
        return ()
    return [parse_address(row.content.decode()) for row in listed.ok_value]
