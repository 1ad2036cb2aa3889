"""Tests of the exchange of marks, over a simulated network."""

import asyncio
import random

from carobmoor.quarantine import (
    Neighbours,
    QuarantineState,
    Spread,
    Suspect,
    blame,
    decode_marks,
)
from tests.fixtures import asynchronous

NODES = ('10.0.0.1:1', '10.0.0.2:1', '10.0.0.3:1')


def suspect(number):
    """Return a request that differs by its route."""
    return Suspect('bookings', 'POST', f'/{number}', 'depot', '', b'', 0)


def all_nodes():
    """Return every node of the service."""
    return NODES


class Network:
    """A simulated network of nodes, some of which may hang."""

    def __init__(self):
        """Connect every node."""
        self.hanging = set()
        self.spreads = {
            node: Spread(
                QuarantineState(),
                Neighbours(node, all_nodes),
                self.ask,
                random.Random(1),
            )
            for node in NODES
        }

    async def ask(self, node, body):
        """Deliver one message and return its answer."""
        if node in self.hanging:
            await asyncio.Event().wait()
        return self.spreads[node].answer(body)

    def known(self, node):
        """Return the number of marks that a node knows."""
        return len(self.spreads[node].state.marks)


@asynchronous
async def test_all_nodes_hear_at_once():
    """When `tell` returns, every node that does not hang knows the mark."""
    network = Network()
    network.hanging.add(NODES[2])
    first = network.spreads[NODES[0]]
    now_s = asyncio.get_running_loop().time()
    marks = blame(first.state, (suspect(1),), f'{NODES[0]}/1', now_s)
    await first.tell(marks)
    assert [network.known(node) for node in NODES] == [1, 1, 0]


@asynchronous
async def test_answer_brings_what_the_other_knows():
    """The answer to a push carries the marks of the other node."""
    network = Network()
    first, second, _ = network.spreads.values()
    now_s = asyncio.get_running_loop().time()
    blame(second.state, (suspect(2),), f'{NODES[1]}/1', now_s)
    await first.tell(blame(first.state, (suspect(1),), 'a/1', now_s))
    assert network.known(NODES[0]) == 2


@asynchronous
async def test_regular_message_is_bounded():
    """A message carries at most 100 marks, however many are known."""
    spread = Network().spreads[NODES[0]]
    now_s = asyncio.get_running_loop().time()
    suspects = [suspect(number) for number in range(300)]
    blame(spread.state, suspects, 'a/1', now_s)
    assert len(decode_marks(spread.answer(b'[]'))) == 100
