"""Joining the cluster through a few seed rows per region in the store.

No node owns a row. A row is stale when its node is not an alive member; a few
nodes per region, chosen by rendezvous hashing, check the rows periodically
and replace a stale one by their own address with a conditional write.
"""

import asyncio
import functools
import random
import time
from collections.abc import Callable, Sequence
from typing import Final

from result import Err

from carobmoor.membership._gossip import Gossip
from carobmoor.membership._messages import Member, MemberStatus, read_address
from carobmoor.membership._rendezvous import is_chosen
from carobmoor.membership._state import MembershipState
from carobmoor.membership._sync import request_helpers
from carobmoor.store import Row, Store, jitter_factor
from carobmoor.telemetry import logger_for
from carobmoor.transport import Address

_TABLE: Final = 'seeds'
_ROWS_PER_REGION: Final = 3
_CHECKERS_PER_REGION: Final = 2
_JOIN_INTERVAL_S: Final = 0.5
_MAX_JOIN_INTERVAL_S: Final = 10
_CHECK_INTERVAL_S: Final = 10
_MAX_HELPERS_TRIED: Final = 2
_log = logger_for('members')


async def join(
    gossip: Gossip,
    store: Store,
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
            await _try_to_join(gossip, store, peers, rng)
            wait_s = min(2 * wait_s, _MAX_JOIN_INTERVAL_S)
        gossip.has_tried_to_join.set()
        await asyncio.sleep(wait_s * jitter_factor(rng))


async def maintain_seed_rows(
    gossip: Gossip,
    store: Store,
    rng: random.Random,
) -> None:
    """Check the seed rows periodically while this node is chosen to."""
    while True:
        await asyncio.sleep(_CHECK_INTERVAL_S * jitter_factor(rng))
        if is_chosen(gossip.state, _TABLE, _CHECKERS_PER_REGION):
            await check_seeds_once(gossip, store)


async def check_seeds_once(gossip: Gossip, store: Store) -> None:
    """Replace a stale row of this region; synchronise with unknown seeds.

    Synchronising joins groups of nodes that have lost contact with each other.
    """
    rows = await _read_rows(store)
    if rows is None:
        return
    is_stale = functools.partial(_is_stale, gossip.state)
    await _write_own_row(gossip.state, store, rows, is_stale)
    for row in rows:
        address = _address_of(row)
        if address is not None and _is_out_of_contact(gossip.state, row):
            await gossip.exchange(address, time.monotonic())


async def _try_to_join(
    gossip: Gossip,
    store: Store,
    peers: Sequence[Address],
    rng: random.Random,
) -> None:
    has_joined = await _join_through_any(gossip, peers, rng)
    rows = await _read_rows(store)
    if rows is None:
        return
    if has_joined:
        # The contact may be the only seed; if it restarted alone, it would
        # find no other node without this row.
        await _write_own_row(gossip.state, store, rows, lambda _: False)
        return
    has_joined = await _join_through_any(
        gossip, list(filter(None, map(_address_of, rows))), rng
    )
    is_stale = functools.partial(_is_stale, gossip.state)
    may_replace = is_stale if has_joined else lambda _: True
    await _write_own_row(gossip.state, store, rows, may_replace)


async def _join_through_any(
    gossip: Gossip,
    addresses: Sequence[Address],
    rng: random.Random,
) -> bool:
    own = gossip.state.me.address
    for address in addresses:
        if str(address) != own and await _join_through(gossip, address, rng):
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
    helpers = await request_helpers(gossip.peers, contact, region)
    if helpers is None:
        return False
    for address in rng.sample(helpers, min(_MAX_HELPERS_TRIED, len(helpers))):
        is_other = str(address) != gossip.state.me.address
        if is_other and await gossip.exchange(address, time.monotonic()):
            break
    return await gossip.exchange(contact, time.monotonic())


async def _read_rows(store: Store) -> Sequence[Row] | None:
    listed = await store.list_rows(_TABLE, '')
    return None if isinstance(listed, Err) else listed.ok_value


async def _write_own_row(
    state: MembershipState,
    store: Store,
    rows: Sequence[Row],
    may_replace: Callable[[Row], bool],
) -> None:
    """Write this node into a row of its region that is free or replaceable."""
    content = state.me.address.encode()
    has_row = any(row.content == content for row in rows)
    if has_row or state.me.status is not MemberStatus.ALIVE:
        return
    by_key = {row.key: row for row in rows}
    for index in range(_ROWS_PER_REGION):
        key = f'{state.me.region}/{index}'
        row = by_key.get(key)
        if row is None or may_replace(row):
            etag = '' if row is None else row.etag
            written = await store.put_row(_TABLE, key, content, etag)
            if written.is_ok():
                return


def _is_stale(state: MembershipState, row: Row) -> bool:
    member = state.members.get(_text_of(row))
    return member is None or member.status is not MemberStatus.ALIVE


def _is_out_of_contact(state: MembershipState, row: Row) -> bool:
    member: Member | None = state.members.get(_text_of(row))
    return member is None or not state.is_reachable(member)


def _address_of(row: Row) -> Address | None:
    address = read_address(_text_of(row))
    if address is None:
        _log.warning('Seed row holds no address, skipped.', row=row.key)
    return address


def _text_of(row: Row) -> str:
    return row.content.decode(errors='replace')
