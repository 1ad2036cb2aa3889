"""Tests of measuring the CPU time of a probe."""

import asyncio

from carobmoor.client._prober import CpuMeter, measure_cpu
from carobmoor.client.tests.fixtures import asynchronous


@asynchronous
async def test_result_and_timeout_pass_through():
    """Results and timeouts reach the awaiting code unchanged."""

    async def return_later(answer):
        await asyncio.sleep(0)
        return answer

    async def time_out():
        try:
            async with asyncio.timeout(0):
                await asyncio.sleep(60)
        except TimeoutError:
            return 'timed out'

    assert await measure_cpu(return_later('told'), CpuMeter()) == 'told'
    assert await measure_cpu(time_out(), CpuMeter()) == 'timed out'


@asynchronous
async def test_cpu_time_of_other_tasks_is_not_counted():
    """Only the CPU time of the awaited steps is counted."""
    meter = CpuMeter()

    async def wait():
        await asyncio.sleep(0)
        await asyncio.sleep(0)

    async def use_cpu():
        for _ in range(2000):
            await asyncio.sleep(0)

    other_task = asyncio.ensure_future(use_cpu())
    await measure_cpu(wait(), meter)
    await other_task
    reference = CpuMeter()
    await measure_cpu(use_cpu(), reference)
    assert meter.core_s < reference.core_s
