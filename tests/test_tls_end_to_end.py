"""End-to-end calls and commands with TLS on every node."""

import asyncio
import os
import tempfile
from pathlib import Path
from unittest import mock

from carobmoor import Call, Client
from carobmoor.cli.tests.fixtures import run_command
from carobmoor.tls import CertificateFiles, caller_context
from carobmoor.tls.tests.fixtures import make_authority, write_certificate
from stand_ins.deployment import Deployment, Place, read_example
from tests.fixtures import asynchronous

PLACES = (
    Place('bookings', 'lagos', 'lagos-a'),
    Place('media', 'lagos', 'lagos-b'),
)


@asynchronous
async def test_library_nodes_and_commands_use_tls():
    """The library, the nodes and the commands all use TLS."""
    with tempfile.TemporaryDirectory() as folder:
        files = write_certificate(make_authority(), Path(folder))
        await check_tls_calls(files)


async def check_tls_calls(files: CertificateFiles) -> None:
    """Check that TLS calls succeed and a command without TLS fails."""
    context = caller_context(files)
    async with Deployment(context) as deployment:
        settings = {'tls': files._asdict()}
        await deployment.start(PLACES, read_example('adeyemi'), settings)
        contacts = [str(pair.node) for pair in deployment.pairs]
        async with Client(contacts, 'test-caller', tls=context) as client:
            answered = await client.call(Call('bookings', 'POST', '/x', b'x'))
        assert answered.unwrap().status == 200
        variables = dict(
            zip(
                (
                    'CAROBMOOR_CERTIFICATE',
                    'CAROBMOOR_PRIVATE_KEY',
                    'CAROBMOOR_AUTHORITY',
                ),
                files,
                strict=True,
            ),
        )
        with mock.patch.dict(os.environ, variables):
            status = await asyncio.to_thread(
                run_command,
                'status',
                contacts[0],
            )
        assert status.exit_code == 0
        plain = await asyncio.to_thread(run_command, 'status', contacts[0])
        assert plain.exit_code == 1
