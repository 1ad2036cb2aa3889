"""Membership and configuration across nodes that crash, leave and return."""

import asyncio
import json
import signal

from stand_ins.deployment import Deployment, Place, ServerPair, read_example
from tests.fixtures import asynchronous, run_deployment

PLACE_A = Place('bookings', 'lagos', 'lagos-a')
PLACE_B = Place('bookings', 'lagos', 'lagos-b')
MEDIA = Place('media', 'lagos', 'lagos-b')
KEY = 'a key that every node shares'


async def status_of(deployment: Deployment, at: ServerPair, of: ServerPair):
    """Return the status and incarnation of node `of` as seen by node `at`."""
    members = await deployment.request_control(
        at.node, 'GET', '/_carobmoor/members'
    )
    for address, _, _, _, incarnation, member_status in members or ():
        if address == str(of.node):
            return member_status, incarnation
    return None


async def wait_until_removed(
    deployment: Deployment, at: ServerPair, of: ServerPair
):
    """Wait until node `at` no longer lists node `of` as a member."""

    async def is_removed():
        return await status_of(deployment, at, of) is None

    await deployment.wait_until(
        is_removed, f'{of.name} is removed at {at.name}'
    )


def document_with_slots(slots: int):
    """Return the Adeyemi document with other slots for `bookings`."""
    document = read_example('adeyemi')
    document['services']['bookings']['slots'] = slots
    return document


@asynchronous
async def test_killed_and_stopped_nodes_rejoin():
    """Killed and stopped nodes are removed and rejoin at the same address.

    A rejoined node has a higher incarnation than before.
    """
    async with run_deployment(
        PLACE_A, PLACE_A, PLACE_B, MEDIA, cluster_key=KEY
    ) as deployment:
        first, killed, left, _ = deployment.pairs
        _, incarnation_before = await status_of(deployment, first, killed)
        await deployment.kill('node bookings-1')
        await deployment.stop('node bookings-2', signal.SIGTERM)
        await wait_until_removed(deployment, first, killed)
        await wait_until_removed(deployment, first, left)
        await deployment.start_node(killed)
        await deployment.start_node(left)
        for pair in deployment.pairs:
            await deployment.wait_for_status(pair, 'members', 4)
        member_status, incarnation_after = await status_of(
            deployment, first, killed
        )
    assert member_status == 0
    assert incarnation_after > incarnation_before


@asynchronous
async def test_node_with_other_key_does_not_join():
    """A node that signs with another cluster key does not become a member."""
    async with run_deployment(PLACE_A, PLACE_B, cluster_key=KEY) as deployment:
        await deployment.add_pair(
            PLACE_A, {'cluster_key': 'quite another key here'}
        )
        stranger = deployment.pairs[2]
        await deployment.wait_for_status(stranger, 'is_ready', True)
        status_of_stranger = await status_of(
            deployment, deployment.pairs[0], stranger
        )
        status = await deployment.request_control(
            stranger.node, 'GET', '/_carobmoor/status'
        )
    assert status_of_stranger is None
    assert status['members'] == 1


@asynchronous
async def test_accepted_change_survives_store_outage():
    """A version accepted just before a store outage reaches every node."""
    async with run_deployment(PLACE_A, PLACE_A, PLACE_B, MEDIA) as deployment:
        await deployment.publish(document_with_slots(12), 1)
        await deployment.set_faults(deployment.platform, is_down=True)
        for pair in deployment.pairs:
            await deployment.wait_for_status(pair, 'configuration_version', 2)
        slots = [
            (
                await deployment.request_control(
                    pair.node, 'GET', '/_carobmoor/status'
                )
            )['slots']
            for pair in deployment.pairs[:3]
        ]
    assert slots == [12, 12, 12]


@asynchronous
async def test_one_of_two_racing_changes_is_accepted():
    """Of two changes to the same version one is accepted.

    The other gets a conflict that names the version and the changed field.
    """
    async with run_deployment(PLACE_A, PLACE_B) as deployment:
        answers = await asyncio.gather(
            *(
                deployment.request_control(
                    pair.node,
                    'PUT',
                    '/_carobmoor/configuration',
                    json.dumps(
                        {
                            'base_version': 1,
                            'reason': 'race',
                            'document': document_with_slots(20 + number),
                        },
                    ).encode(),
                )
                for number, pair in enumerate(deployment.pairs)
            ),
        )
    winners = [each for each in answers if each.get('version') == 2]
    losers = [each for each in answers if each.get('code') == 'conflict']
    assert len(winners) == 1
    assert len(losers) == 1
    assert 'version 2' in losers[0]['detail']
    assert 'services.bookings.slots' in losers[0]['detail']


@asynchronous
async def test_node_starts_while_store_is_down():
    """A new node becomes ready through the peers in its settings."""
    async with run_deployment(PLACE_A, PLACE_B, PLACE_A) as deployment:
        await deployment.set_faults(deployment.platform, is_down=True)
        new_pair = await deployment.add_pair(PLACE_B, {})
        await deployment.wait_for_status(new_pair, 'is_ready', True)
        for pair in deployment.pairs:
            await deployment.wait_for_status(pair, 'members', 4)
        status = await deployment.request_control(
            new_pair.node, 'GET', '/_carobmoor/status'
        )
    assert status['configuration_version'] == 1


@asynchronous
async def test_resent_rollback_adds_one_version():
    """A rollback is a new version, and its resend does not add another.

    The store applies the rollback but loses the answer, so it is sent again.
    """
    async with run_deployment(PLACE_A, PLACE_B) as deployment:
        await deployment.publish(document_with_slots(12), 1)
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
        await deployment.request_control(first, 'PUT', target, body)
        resent = await deployment.request_control(first, 'PUT', target, body)
        for pair in deployment.pairs:
            await deployment.wait_for_status(pair, 'configuration_version', 3)
            await deployment.wait_for_status(pair, 'slots', 9)
        history = await deployment.request_control(
            first, 'GET', f'{target}/history'
        )
    assert resent['version'] == 3
    assert [head['version'] for head in history] == [1, 2, 3]
