"""Odd rows, check-ins and datagrams of another writer."""

import random
import socket
from collections.abc import Mapping, Sequence
from types import MappingProxyType
from typing import Any, Final

from carobmoor.decoding.tests.odd_values import odd_variants
from carobmoor.transport import ConnectionPool, OutgoingRequest, request_json
from soak._fault import Fault, Injector
from soak._stage import (
    CONTROL_PORT,
    GOSSIP_PORT,
    NODE_PORT,
    SERVICE,
    Place,
    SoakDeployment,
)

_TIMEOUT_S: Final = 1.0
_MAX_DATAGRAM_BYTES: Final = 65_000
_FIRST_REVISION: Final = 3


def draw_odd_entries(seed: int, span_s: float, nodes: int) -> Sequence[Fault]:
    """Draw odd entries; they stay, so that every later start meets them.

    They are drawn apart, so that a seed keeps its other faults.
    """
    rng = random.Random(f'{seed} odd entries')
    return [
        Fault(
            rng.uniform(0.2, span_s),
            0,
            rng.choice(tuple(ODD_INJECTORS)),
            rng.randrange(nodes),
            rng.randrange(1000),
        )
        for _ in range(rng.randint(0, 6))
    ]


def _odd_variant(message: object, fault: Fault) -> bytes:
    variants = list(odd_variants(message))
    return variants[fault.variant % len(variants)]


def _record_of(place: Place) -> Sequence[Any]:
    """Return the record of a node that started long ago."""
    address: list[Any] = [place.ip, NODE_PORT]
    server = [SERVICE, 'i-odd', 4, False, 0]
    return [*address, 1, _FIRST_REVISION, place.zone, *server]


async def _leave_odd_row(
    deployment: SoakDeployment, place: Place, fault: Fault
) -> None:
    """Replace the row of a node, or add one beside it."""
    key = str(place.at(NODE_PORT))
    if fault.variant % 2:
        # Read before the rows of nodes.
        key = f'0-odd-{fault.variant}'
    content = _odd_variant(_record_of(place), fault)
    await deployment.write_row('nodes', key, lambda: content)


async def _send_odd_check_in(
    deployment: SoakDeployment, place: Place, fault: Fault
) -> None:
    instance_id = deployment.servers[place].instance_id
    check_in = {
        'address': f'{place.ip}:1',
        'info': {'service': SERVICE, 'slots': 4, 'zone': place.zone},
        'status': {'state': 'unknown', 'sequence': 1},
    }
    target = f'/v1/instances/{instance_id}/heartbeat'
    body = _odd_variant(check_in, fault)
    request = OutgoingRequest('POST', target, (), body)
    await request_json(
        ConnectionPool(), place.at(CONTROL_PORT), request, _TIMEOUT_S
    )


async def _send_odd_datagram(
    _deployment: SoakDeployment, place: Place, fault: Fault
) -> None:
    hello = ['h', _record_of(place), 0, True]
    content = _odd_variant(hello, fault)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        sender.sendto(content[:_MAX_DATAGRAM_BYTES], place.at(GOSSIP_PORT))


ODD_INJECTORS: Final[Mapping[str, Injector]] = MappingProxyType(
    {
        'odd row': _leave_odd_row,
        'odd check-in': _send_odd_check_in,
        'odd datagram': _send_odd_datagram,
    }
)
