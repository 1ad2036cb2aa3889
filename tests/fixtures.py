"""Fixtures shared by the end-to-end tests."""

import asyncio
import functools
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any

from carobmoor import Client
from stand_ins.deployment import Deployment, Place, read_example

_DEADLOCK_TIMEOUT_S = 120


def asynchronous(
    test: Callable[..., Awaitable[None]],
) -> Callable[..., None]:
    """Run an asynchronous test function in its own event loop.

    Raises `TimeoutError` after 120 s, so that a deadlock fails the test.
    """

    @functools.wraps(test)
    def run(*arguments: Any) -> None:
        asyncio.run(
            asyncio.wait_for(test(*arguments), _DEADLOCK_TIMEOUT_S),
        )

    return run


@asynccontextmanager
async def run_deployment(
    *places: Place,
    **extra_settings: Any,
) -> AsyncIterator[Deployment]:
    """Run a deployment of the Adeyemi example at the given places."""
    async with Deployment() as deployment:
        await deployment.start(places, read_example('adeyemi'), extra_settings)
        yield deployment


@asynccontextmanager
async def connected_client(deployment: Deployment) -> AsyncIterator[Client]:
    """Run a client that has every node of a deployment as contact."""
    contacts = [str(pair.node) for pair in deployment.pairs]
    async with Client(contacts, 'test-caller') as client:
        yield client
