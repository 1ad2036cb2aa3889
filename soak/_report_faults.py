"""Servers that report a rate limit, or say in answers that they leave."""

import asyncio
import random
from collections.abc import Mapping, Sequence
from types import MappingProxyType
from typing import Final

from carobmoor.history import EventKind
from soak._fault import Fault, Injector, crash_server
from soak._rules import LIMIT_DETAIL
from soak._stage import Place, SoakDeployment

_MAX_RATE_LIMIT_PER_S: Final = 12


def draw_reports(seed: int, span_s: float, nodes: int) -> Sequence[Fault]:
    """Draw servers that name a rate limit, or say in answers that they leave.

    They are drawn apart, so that a seed keeps its other faults.
    """
    rng = random.Random(f'{seed} reports')
    return [
        Fault(
            rng.uniform(0.2, span_s / 2),
            rng.uniform(2, span_s),
            rng.choice(tuple(REPORT_INJECTORS)),
            rng.randrange(nodes),
            rng.randrange(1000),
        )
        for _ in range(rng.randint(0, 2))
    ]


async def _limit_server(
    deployment: SoakDeployment, place: Place, fault: Fault
) -> None:
    backend = deployment.servers[place]
    instance = backend.instance_id
    if not backend.is_up or backend.rate_limit_per_s:
        return
    backend.rate_limit_per_s = fault.variant % _MAX_RATE_LIMIT_PER_S + 1
    detail = f'{LIMIT_DETAIL}{backend.rate_limit_per_s}'
    deployment.record(EventKind.FAILED, subject=instance, detail=detail)
    await asyncio.sleep(fault.for_s)
    deployment.record(EventKind.MENDED, subject=instance, detail=detail)
    if backend.instance_id == instance:
        backend.rate_limit_per_s = 0


async def _leave_by_answer(
    deployment: SoakDeployment, place: Place, fault: Fault
) -> None:
    backend = deployment.servers[place]
    instance = backend.instance_id
    backend.says_leaving = True
    await asyncio.sleep(fault.for_s)
    if backend.instance_id == instance:
        await crash_server(deployment, place, fault)


REPORT_INJECTORS: Final[Mapping[str, Injector]] = MappingProxyType(
    {
        'limit server': _limit_server,
        'leave by answer': _leave_by_answer,
    }
)
