"""Joining the cluster through a few seed rows per region in the store.

No node owns a row. A row is stale when its node is not an alive member; a few
nodes per region, chosen by rendezvous hashing, check the rows periodically
and replace a stale one by their own address with a conditional write.
"""

import asyncio
import functools
import random
from collections.abc import Callable, Sequence
from typing import Final

from result import Err

from carobmoor.membership._gossip import Gossip
from carobmoor.membership._messages import Member, Standing
from carobmoor.membership._rendezvous import is_chosen
from carobmoor.membership._state import MembershipState
from carobmoor.membership._sync import ask_helpers
from carobmoor.store import Row, Store, jitter
from carobmoor.transport import Address, parse_address

_TABLE: Final = 'seeds'
_SLOTS_PER_REGION: Final = 3
_KEEPERS_PER_REGION: Final = 2
_JOIN_INTERVAL_S: Final = 0.5
_MOST_JOIN_INTERVAL_S: Final = 10
_LOOK_INTERVAL_S: Final = 10
_HELPERS_TRIED: Final = 2


async def join(
    gossip: Gossip,
    platform: Store,
    peers: Sequence[Address],
    rng: random.Random,
) -> None:
    """Contact other nodes through the configured peers and the seed rows.

    While the store is down the peers suffice; without either it keeps trying.
    It also starts over when this node knows no other live member any more.
    """
    wait_s = _JOIN_INTERVAL_S
    while True:
        if gossip.state.others():
            wait_s = _JOIN_INTERVAL_S
        else:
            await _try_to_join(gossip, platform, peers, rng)
            wait_s = min(2 * wait_s, _MOST_JOIN_INTERVAL_S)
        gossip.has_tried_to_join.set()
        await asyncio.sleep(wait_s * jitter(rng))


async def keep_seeds(
    gossip: Gossip,
    platform: Store,
    rng: random.Random,
) -> None:
    """Check the seed rows periodically while this node is chosen to."""
    while True:
        await asyncio.sleep(_LOOK_INTERVAL_S * jitter(rng))
        if is_chosen(gossip.state, _TABLE, _KEEPERS_PER_REGION):
            await look_once(gossip, platform)


async def look_once(gossip: Gossip, platform: Store) -> None:
    """Replace a stale row of this region; synchronise with unknown seeds.

    The latter joins groups of nodes that have lost contact with each other.
    """
    rows = await _read_rows(platform)
    if rows is None:
        return
    is_stale = functools.partial(_is_stale, gossip.state)
    await _take_row(gossip.state, platform, rows, is_stale)
    for row in rows:
        if _is_stranger(gossip.state, row):
            await gossip.exchange(_seed_of(row))


async def _try_to_join(
    gossip: Gossip,
    platform: Store,
    peers: Sequence[Address],
    rng: random.Random,
) -> None:
    met = await _meet_any(gossip, peers, rng)
    rows = await _read_rows(platform)
    if rows is None:
        return
    if met:
        # The contact may be the only seed; if it restarted alone, it would
        # find no other node without this row.
        await _take_row(gossip.state, platform, rows, lambda _: False)
        return
    met = await _meet_any(gossip, [_seed_of(row) for row in rows], rng)
    is_stale = functools.partial(_is_stale, gossip.state)
    may_take = is_stale if met else lambda _: True
    await _take_row(gossip.state, platform, rows, may_take)


async def _meet_any(
    gossip: Gossip,
    addresses: Sequence[Address],
    rng: random.Random,
) -> bool:
    here = gossip.state.me.address
    for address in addresses:
        if str(address) != here and await _join_through(gossip, address, rng):
            return True
    return False


async def _join_through(
    gossip: Gossip,
    contact: Address,
    rng: random.Random,
) -> bool:
    """Fetch the members from a node named by the contact.

    What is still missing comes from the contact itself, which knows more than
    others while many nodes start together.
    """
    region = gossip.state.me.region
    named = await ask_helpers(gossip.peers, contact, region)
    if named is None:
        return False
    for address in rng.sample(named, min(_HELPERS_TRIED, len(named))):
        is_other = str(address) != gossip.state.me.address
        if is_other and await gossip.exchange(address):
            break
    return await gossip.exchange(contact)


async def _read_rows(platform: Store) -> Sequence[Row] | None:
    listed = await platform.list_rows(_TABLE, '')
    return None if isinstance(listed, Err) else listed.ok_value


async def _take_row(
    state: MembershipState,
    platform: Store,
    rows: Sequence[Row],
    may_take: Callable[[Row], bool],
) -> None:
    """Write this node into a row of its region that is free or replaceable."""
    content = state.me.address.encode()
    is_held = any(row.content == content for row in rows)
    if is_held or state.me.standing is not Standing.ALIVE:
        return
    by_key = {row.key: row for row in rows}
    for slot in range(_SLOTS_PER_REGION):
        key = f'{state.me.region}/{slot}'
        row = by_key.get(key)
        if row is None or may_take(row):
            etag = '' if row is None else row.etag
            written = await platform.put_row(_TABLE, key, content, etag)
            if written.is_ok():
                return


def _is_stale(state: MembershipState, row: Row) -> bool:
    member = state.members.get(row.content.decode())
    return member is None or member.standing is not Standing.ALIVE


def _is_stranger(state: MembershipState, row: Row) -> bool:
    member: Member | None = state.members.get(row.content.decode())
    return member is None or not state.is_reachable(member)


def _seed_of(row: Row) -> Address:
    return parse_address(row.content.decode())
