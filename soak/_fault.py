"""A drawn fault, and the fault that others end with."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from soak._stage import Place, SoakDeployment


class Fault(NamedTuple):
    """One fault: when it starts, how long it lasts and which node it hits."""

    at_s: float
    for_s: float
    kind: str
    number: int
    # Selects a variant of the kind, such as the mode of a link.
    variant: int


async def crash_server(
    deployment: SoakDeployment, place: Place, fault: Fault
) -> None:
    """Crash the server of a place, and start another one after a time."""
    backend = deployment.servers[place]
    if not backend.is_up:
        return
    backend.crash()
    await asyncio.sleep(fault.for_s)
    if not backend.is_up:
        await backend.start()


Injector = Callable[[SoakDeployment, Place, Fault], Awaitable[None]]
