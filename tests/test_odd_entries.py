"""One odd entry in the store or a message never stops a node of the product.

Odd values stand at every place that a decoder reads, keeps or skips: in seed
rows, the configuration, claims of idempotency keys, messages and headers.
"""

import asyncio
import json
import random
import time
from collections.abc import Iterator
from typing import Any
from unittest import mock

import msgspec
from result import Ok

from carobmoor.configuration._store import (
    Head,
    load_document,
    load_manifest,
    read_head,
    read_history,
)
from carobmoor.decoding.tests.odd_values import odd_variants
from carobmoor.idempotency import Claim, decode_claim, delete_old_claims
from carobmoor.membership._messages import (
    Datagram,
    DatagramKind,
    decode_datagram,
    decode_members,
)
from carobmoor.membership._seeds import _try_to_join, check_seeds_once
from carobmoor.membership.tests.fixtures import member, state_of
from carobmoor.routing import LoadReport, decode_report
from carobmoor.store.tests.fixtures import FakeStore
from carobmoor.tickets import Ticket, TicketGrant, decode_grant, decode_ticket

ME = member(1)
SEED = member(2)
HEAD = Head(3, 'digest', 'id', 'operator', 'reason', 5)
TICKET = Ticket('127.0.0.1:7000', 'i', 1, 0, 'mac')
CLAIM = Claim('c', 'service', 'fingerprint', 'request', TICKET, 5.5)
ODD_SEEDS = (
    b'',
    b'\xff',
    b'10.0.0.2:70000',
    b'10.0.0.2:%b' % (b'9' * 5000),
    b'10.0.0.2',
    b'nowhere:80',
    b'[' * 100_000,
    b'10.0.0.256:7000',
    b'10.0.0.2:-1',
)


def variants_of(message: object) -> Iterator[bytes]:
    """Yield the odd variants of a message as it is encoded."""
    yield from odd_variants(json.loads(msgspec.json.encode(message)))


def store_with(table: str, contents: dict[str, bytes]) -> FakeStore:
    """Create a store with rows."""
    store = FakeStore()
    for key, content in contents.items():
        store.rows[f'{table}/{key}'] = (content, '1')
    return store


def gossip_to(joined: list[str]) -> Any:
    """Create a stand-in that records with whom a node synchronises."""

    async def exchange(address: object, now_s: float) -> bool:
        joined.append(str(address))
        return True

    gossip = mock.Mock()
    gossip.state = state_of(ME)
    gossip.exchange = exchange
    gossip.peers.post = mock.AsyncMock(return_value=b'["x", "10.0.0.9:99999"]')
    return gossip


# Guards against a node that never joins, or stops checking the seeds, because
# one seed row holds no address.
def test_node_joins_beside_odd_seeds():
    """The other seed is used, whatever the rows beside it hold."""
    for number, odd in enumerate(ODD_SEEDS):
        seeds = {f'x/{number}': odd, 'y/0': SEED.address.encode()}
        joined: list[str] = []
        gossip = gossip_to(joined)
        store: Any = store_with('seeds', seeds)
        asyncio.run(_try_to_join(gossip, store, (), random.Random(1)))
        asyncio.run(check_seeds_once(gossip, store))
        assert set(joined) == {SEED.address}, odd[:50]


# Guards against a follower that ends because the store holds an odd version.
def test_odd_configuration_is_a_failure():
    """An odd head, manifest or document fails; other versions are listed."""
    heads = list(variants_of(HEAD))
    for odd in heads:
        store: Any = store_with('configuration', {'head': odd})
        read = asyncio.run(read_head(store))
        assert read.is_err() or read.ok_value.head.version <= 2**63
    rows = {f'version-{place}': odd for place, odd in enumerate(heads)}
    good = msgspec.json.encode(HEAD)
    store = store_with('configuration', {**rows, 'head': good})
    assert HEAD in asyncio.run(read_history(store)).unwrap()
    for odd in variants_of({'common': 'a', 'services': {'b': 'c'}}):
        store.objects['digest'] = odd
        store.objects['manifest-digest'] = odd
        assert asyncio.run(load_document(store, HEAD)) is not None
        assert asyncio.run(load_manifest(store, HEAD)) is not None


# Guards against claims that are never deleted because one among them is odd.
def test_old_claims_are_deleted_beside_odd_ones():
    """An odd claim raises one error, and old ones beside it are deleted."""
    for odd in variants_of(CLAIM):
        rows = {'a': odd, 'b': msgspec.json.encode(CLAIM)}
        assert 'b' in _delete_claims(store_with('idempotency', rows))


def _delete_claims(store: Any) -> list[str]:
    deleted: list[str] = []

    async def delete_row(table: str, key: str, etag: str) -> Any:
        deleted.append(key)
        return Ok(None)

    store.delete_row = delete_row
    asyncio.run(delete_old_claims(store, '', time.time()))
    return deleted


# Guards against an error of a message that its receiver doesn't expect.
def test_odd_messages_are_decoded_or_refused():
    """Odd messages and headers raise one error, or count as absent."""
    datagram = Datagram(
        DatagramKind.UPDATES, 1, SEED.address, '', 0, (SEED, ME)
    )
    grant = TicketGrant(SEED.address, 'i', 1, 5000, 'key')
    for decode, message in (
        (decode_datagram, datagram),
        (decode_members, [SEED, ME]),
        (decode_claim, CLAIM),
        (decode_report, LoadReport(4, 1, 0, 5, False)),
        (decode_ticket, TICKET),
        (decode_grant, grant),
    ):
        for odd in variants_of(message):
            _decode_or_refuse(decode, odd)


def _decode_or_refuse(decode: Any, odd: bytes) -> None:
    content = odd.decode('latin-1') if decode is decode_report else odd
    try:
        decoded = decode(content)
    except msgspec.DecodeError as error:
        assert str(error)
    else:
        assert decoded is None or msgspec.json.encode(decoded)
