"""Tests of measuring the CPU time of a probe."""

import asyncio

from carobmoor.client._prober import CoreMeter, metered
from carobmoor.client.tests.fixtures import asynchronous


@asynchronous
async def test_metered_result_and_timeout_pass_through():
    """Results and timeouts reach the awaiting code unchanged."""

    async def told(answer):
        await asyncio.sleep(0)
        return answer

    async def bounded():
        try:
            async with asyncio.timeout(0):
                await asyncio.sleep(60)
        except TimeoutError:
            return 'timed out'

    assert await metered(told('told'), CoreMeter()) == 'told'
    assert await metered(bounded(), CoreMeter()) == 'timed out'


@asynchronous
async def test_time_of_other_tasks_is_not_metered():
    """Only the CPU time of the awaited steps is counted."""
    meter = CoreMeter()

    async def wait():
        await asyncio.sleep(0)
        await asyncio.sleep(0)

    async def burn():
        for _ in range(2000):
            await asyncio.sleep(0)

    burning = asyncio.ensure_future(burn())
    await metered(wait(), meter)
    await burning
    burnt = CoreMeter()
    await metered(burn(), burnt)
    assert meter.core_s < burnt.core_s
