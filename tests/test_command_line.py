"""Operator commands against a running node."""

import asyncio
import hashlib
import json
import os
from unittest import mock

from carobmoor.cli.tests.fixtures import EXAMPLES, CompletedCommand, run_command
from stand_ins.deployment import OPERATOR_TOKEN, Place
from tests.fixtures import asynchronous, run_deployment

PLACE = Place('bookings', 'lagos', 'lagos-a')
MEDIA = Place('media', 'lagos', 'lagos-a')
PLAIN = (
    b'GET /x HTTP/1.1\r\nhost: any\r\nconnection: close\r\n'
    b'x-carobmoor-service: bookings\r\n'
    b'x-carobmoor-request-id: plain-1\r\n\r\n'
)
DOCUMENT = str(EXAMPLES / 'adeyemi.json')
OTHER_DOCUMENT = str(EXAMPLES / 'bawaba.json')


@asynchronous
async def test_commands_on_a_running_node():
    """Status, diff, put, history, call and drain work through one node."""
    async with run_deployment(PLACE) as deployment:
        node = str(deployment.pairs[0].node)
        status = await command('status', node)
        assert json.loads(status.stdout)['service'] == 'bookings'
        same = await command('config', 'diff', DOCUMENT, node)
        assert (same.exit_code, same.stdout) == (0, ''), same
        other = await command('config', 'diff', OTHER_DOCUMENT, node)
        assert '+    "gate": {' in other.stdout.splitlines()
        put = ('config', 'put', DOCUMENT, node, '--reason=again')
        conflict = await command(*put, '--base=0')
        assert conflict.exit_code == 1
        assert 'version 1 by stand-in-operator is current' in conflict.stderr
        accepted = await command(*put, '--base=1')
        assert json.loads(accepted.stdout)['version'] == 2
        history = await command('config', 'history', node)
        assert [head['reason'] for head in json.loads(history.stdout)] == [
            'deployment',
            'again',
        ]
        answered = await command('call', 'bookings', '/x', node)
        assert answered.stdout.startswith('200 from ')
        refused = await command('call', 'gate', '/x', node)
        assert refused.exit_code == 3
        drained = await command('drain', node)
        assert drained.exit_code == 0
        process = deployment.processes['node bookings-0']
        assert await process.wait() == 0


@asynchronous
async def test_explain_lists_steps_of_refused_request():
    """The node that refused a request explains each step of it."""
    async with run_deployment(PLACE) as deployment:
        node = str(deployment.pairs[0].node)
        await deployment.kill('backend bookings-0')
        refused = await command('call', 'bookings', '/x', node)
        request_id = refused.stderr.partition(', request ')[2].partition('.')[0]
        explained = await command('explain', request_id, node)
        unknown = await command('explain', 'unheard', node)
    assert explained.stdout.startswith(f'{request_id} at {node}: not_sent')
    assert 'admission: started' in explained.stdout
    assert unknown.exit_code == 1


@asynchronous
async def test_token_scope_limits_changes():
    """A token of one team can't change or drain another team's service."""
    operators = [
        {
            'name': 'media-night',
            'token_sha256': hashlib.sha256(b'media').hexdigest(),
            'teams': ['media'],
        },
        {
            'name': 'chief',
            'token_sha256': hashlib.sha256(OPERATOR_TOKEN.encode()).hexdigest(),
            'teams': ['*'],
        },
    ]
    async with run_deployment(PLACE, operators=operators) as deployment:
        node = str(deployment.pairs[0].node)
        put = ('config', 'put', OTHER_DOCUMENT, node, '--reason=x', '--base=1')
        refused = await command(*put, token='media')
        refused_drain = await command('drain', node, token='media')
        history = await command('config', 'history', node)
    assert 'not in the scope of media-night: ranks, services.' in refused.stderr
    assert 'bookings is not in the scope of media-night' in refused_drain.stderr
    assert len(json.loads(history.stdout)) == 1


@asynchronous
async def test_explain_lists_choice_when_forwarding():
    """The forwarding node lists the owners it tried and their failures."""
    async with run_deployment(PLACE, MEDIA) as deployment:
        owner, entry = (str(pair.node) for pair in deployment.pairs)
        await deployment.kill('backend bookings-0')
        reader, writer = await asyncio.open_connection(
            *deployment.pairs[1].node,
        )
        writer.write(PLAIN)
        await reader.read()
        writer.close()
        explained = await command('explain', 'plain-1', entry)
    assert f'choice: attempt 1 chose {owner} of {owner} (' in explained.stdout
    assert 'attempt 1 failed: not_sent' in explained.stdout


@asynchronous
async def test_wrong_token_is_refused():
    """A command with a wrong token fails and reports an invalid token."""
    async with run_deployment(PLACE) as deployment:
        node = str(deployment.pairs[0].node)
        refused = await command('drain', node, token='wrong')
    assert refused.exit_code == 1
    assert 'no valid operator token' in refused.stderr


async def command(
    *arguments: str, token: str = OPERATOR_TOKEN
) -> CompletedCommand:
    """Run a command in a thread beside the event loop of the test."""
    with mock.patch.dict(os.environ, {'CAROBMOOR_TOKEN': token}):
        return await asyncio.to_thread(run_command, *arguments)
