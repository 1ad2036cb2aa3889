"""Membership and configuration across nodes that crash, leave and return."""

import asyncio
import json
import signal

from stand_ins.deployment import Deployment, Pair, Place, read_example
from tests.fixtures import asynchronous, running

A = Place('bookings', 'lagos', 'lagos-a')
B = Place('bookings', 'lagos', 'lagos-b')
MEDIA = Place('media', 'lagos', 'lagos-b')
KEY = 'a key that every node shares'


async def standing(deployment: Deployment, at: Pair, of: Pair):
    """Return the status and incarnation of node `of` as seen by node `at`."""
    members = await deployment.ask(at.node, 'GET', '/_carobmoor/members')
    for address, _, _, _, incarnation, told in members or ():
        if address == str(of.node):
            return told, incarnation
    return None


async def until_gone(deployment: Deployment, at: Pair, of: Pair):
    """Wait until node `at` no longer lists node `of` as a member."""

    async def is_gone():
        return await standing(deployment, at, of) is None

    await deployment.until(is_gone, f'{of.name} is gone at {at.name}')


def changed(slots: int):
    """Return the Adeyemi document with other slots for `bookings`."""
    document = read_example('adeyemi')
    document['services']['bookings']['slots'] = slots
    return document


@asynchronous
async def test_death_leave_and_return():
    """Killed and stopped nodes are removed and rejoin at the same address.

    A rejoined node has a higher incarnation than before.
    """
    async with running(A, A, B, MEDIA, cluster_key=KEY) as deployment:
        first, killed, left, _ = deployment.pairs
        _, before = await standing(deployment, first, killed)
        await deployment.kill('node bookings-1')
        await deployment.stop('node bookings-2', signal.SIGTERM)
        await until_gone(deployment, first, killed)
        await until_gone(deployment, first, left)
        await deployment.start_node(killed)
        await deployment.start_node(left)
        for pair in deployment.pairs:
            await deployment.until_status(pair, 'members', 4)
        told, after = await standing(deployment, first, killed)
    assert told == 0
    assert after > before


@asynchronous
async def test_node_without_the_key_is_not_heard():
    """A node that signs with another cluster key does not become a member."""
    async with running(A, B, cluster_key=KEY) as deployment:
        await deployment.add_pair(A, {'cluster_key': 'quite another key here'})
        stranger = deployment.pairs[2]
        await deployment.until_status(stranger, 'is_ready', True)
        seen = await standing(deployment, deployment.pairs[0], stranger)
        status = await deployment.ask(
            stranger.node, 'GET', '/_carobmoor/status'
        )
    assert seen is None
    assert status['members'] == 1


@asynchronous
async def test_change_outlives_the_store():
    """A version accepted just before a store outage reaches every node."""
    async with running(A, A, B, MEDIA) as deployment:
        await deployment.publish(changed(12), 1)
        await deployment.set_faults(deployment.platform, is_down=True)
        for pair in deployment.pairs:
            await deployment.until_status(pair, 'configuration_version', 2)
        slots = [
            (await deployment.ask(pair.node, 'GET', '/_carobmoor/status'))[
                'slots'
            ]
            for pair in deployment.pairs[:3]
        ]
    assert slots == [12, 12, 12]


@asynchronous
async def test_racing_operators():
    """Of two changes to the same version one is accepted.

    The other gets a conflict that names the version and the changed field.
    """
    async with running(A, B) as deployment:
        told = await asyncio.gather(
            *(
                deployment.ask(
                    pair.node,
                    'PUT',
                    '/_carobmoor/configuration',
                    json.dumps(
                        {
                            'base_version': 1,
                            'reason': 'race',
                            'document': changed(20 + number),
                        },
                    ).encode(),
                )
                for number, pair in enumerate(deployment.pairs)
            ),
        )
    winners = [each for each in told if each.get('version') == 2]
    losers = [each for each in told if each.get('code') == 'conflict']
    assert len(winners) == 1
    assert len(losers) == 1
    assert 'version 2' in losers[0]['detail']
    assert 'services.bookings.slots' in losers[0]['detail']


@asynchronous
async def test_start_while_the_store_is_down():
    """A new node becomes ready through the peers in its settings."""
    async with running(A, B, A) as deployment:
        await deployment.set_faults(deployment.platform, is_down=True)
        late = await deployment.add_pair(B, {})
        await deployment.until_status(late, 'is_ready', True)
        for pair in deployment.pairs:
            await deployment.until_status(pair, 'members', 4)
        status = await deployment.ask(late.node, 'GET', '/_carobmoor/status')
    assert status['configuration_version'] == 1


@asynchronous
async def test_rollback_and_lost_answer():
    """A rollback is a new version, and its resend does not add another.

    The store applies the rollback but loses the answer, so it is sent again.
    """
    async with running(A, B) as deployment:
        await deployment.publish(changed(12), 1)
        await deployment.set_faults(deployment.platform, loses_answers=1)
        body = json.dumps(
            {
                'base_version': 2,
                'reason': 'back',
                'rollback_to': 1,
                'submission_id': 'rollback-1',
            },
        ).encode()
        first = deployment.pairs[0].node
        target = '/_carobmoor/configuration'
        await deployment.ask(first, 'PUT', target, body)
        again = await deployment.ask(first, 'PUT', target, body)
        for pair in deployment.pairs:
            await deployment.until_status(pair, 'configuration_version', 3)
            await deployment.until_status(pair, 'slots', 9)
        history = await deployment.ask(first, 'GET', f'{target}/history')
    assert again['version'] == 3
    assert [head['version'] for head in history] == [1, 2, 3]
