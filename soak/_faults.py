"""The faults that a seed draws; each one mends itself in the end."""

import asyncio
import random
import signal
from collections.abc import Mapping, Sequence
from types import MappingProxyType
from typing import Final

from carobmoor.history import EventKind
from proofs._relay import Mode
from soak._fault import Fault, Injector, crash_server
from soak._odd_entries import ODD_INJECTORS
from soak._report_faults import REPORT_INJECTORS
from soak._stage import Place, SoakDeployment

_LINK_MODES: Final = (
    Mode.CUT,
    Mode.HOLD,
    Mode.DELAY,
    Mode.LOSE,
    Mode.TRUNCATE,
)
_STORE_FAULTS: Final = (
    ('is_down', True),
    ('delay_ms', 300),
    ('loses_answers', 3),
    ('is_stale', True),
    ('forgets_history', True),
)
# A stopping process is killed after this time, as the platform does.
_GRACE_S: Final = 6
_DOWN_S: Final = 0.5


def draw_faults(seed: int, span_s: float, nodes: int) -> Sequence[Fault]:
    """Draw the faults of a run, ordered by their start; they may overlap.

    The same arguments always give the same faults.
    """
    rng = random.Random(seed)
    count = rng.randint(4, 10)
    return sorted(
        Fault(
            rng.uniform(0.2, span_s),
            rng.uniform(0.3, span_s / 2),
            rng.choice(tuple(_INJECTORS)),
            rng.randrange(nodes),
            rng.randrange(1000),
        )
        for _ in range(count)
    )


async def inject_fault(deployment: SoakDeployment, fault: Fault) -> None:
    """Wait until a fault is due, inject it, and mend it after its time."""
    await asyncio.sleep(fault.at_s)
    place = deployment.places[fault.number]
    injectors = _INJECTORS | REPORT_INJECTORS | ODD_INJECTORS
    await injectors[fault.kind](deployment, place, fault)


async def _kill(deployment: SoakDeployment, place: Place, fault: Fault) -> None:
    if not deployment.is_running(place):
        return
    _record(deployment, EventKind.FAILED, place, 'killed')
    deployment.send_signal(place, signal.SIGKILL)
    await deployment.wait_ended(place)
    await asyncio.sleep(fault.for_s)
    await _restart(deployment, place)


async def _kill_all(
    deployment: SoakDeployment, _place: Place, fault: Fault
) -> None:
    await asyncio.gather(
        *(_kill(deployment, place, fault) for place in deployment.places),
    )


async def _pause(
    deployment: SoakDeployment, place: Place, fault: Fault
) -> None:
    if not deployment.is_running(place):
        return
    start = deployment.start_counts[place]
    _record(deployment, EventKind.FAILED, place, 'paused')
    deployment.send_signal(place, signal.SIGSTOP)
    await asyncio.sleep(fault.for_s)
    if deployment.start_counts[place] == start and deployment.is_running(place):
        deployment.send_signal(place, signal.SIGCONT)
    _record(deployment, EventKind.MENDED, place, 'paused')


async def _stop(
    deployment: SoakDeployment, place: Place, _fault: Fault
) -> None:
    if not deployment.is_running(place):
        return
    deployment.stopping.add(place)
    _record(deployment, EventKind.FAILED, place, 'stopping')
    deployment.send_signal(place, signal.SIGCONT)
    deployment.send_signal(place, signal.SIGTERM)
    try:
        async with asyncio.timeout(_GRACE_S):
            await deployment.wait_ended(place)
    except TimeoutError:
        _record(deployment, EventKind.FAILED, place, 'killed')
        deployment.send_signal(place, signal.SIGKILL)
        await deployment.wait_ended(place)
    await asyncio.sleep(_DOWN_S)
    deployment.stopping.discard(place)
    await _restart(deployment, place)


async def _reload(
    deployment: SoakDeployment, place: Place, _fault: Fault
) -> None:
    # Until the interpreter runs code, the default action of the signal
    # would end the process.
    if deployment.is_running(place) and deployment.survives_reload(place):
        deployment.send_signal(place, signal.SIGHUP)


async def _inject_link_fault(
    deployment: SoakDeployment, place: Place, fault: Fault
) -> None:
    link = ('store', 'server')[fault.variant % 2]
    mode = _LINK_MODES[fault.variant % len(_LINK_MODES)]
    _record(deployment, EventKind.FAILED, place, f'{link} {mode.value}')
    deployment.set_link_mode(link, place, mode, fault.variant % 400)
    await asyncio.sleep(fault.for_s)
    deployment.set_link_mode(link, place, Mode.MEND, 0)
    _record(deployment, EventKind.MENDED, place, f'{link} {mode.value}')


async def _inject_store_fault(
    deployment: SoakDeployment, _place: Place, fault: Fault
) -> None:
    name, setting = _STORE_FAULTS[fault.variant % len(_STORE_FAULTS)]
    deployment.record(
        EventKind.FAILED, subject='store', detail=f'{name} {setting}'
    )
    await deployment.set_faults(deployment.platform, **{name: setting})
    await asyncio.sleep(fault.for_s)
    await deployment.set_faults(deployment.platform, **{name: 0})
    deployment.record(EventKind.MENDED, subject='store')


async def _replace_server(
    deployment: SoakDeployment, place: Place, fault: Fault
) -> None:
    backend = deployment.servers[place]
    if not backend.is_up:
        return
    await backend.leave()
    await asyncio.sleep(fault.for_s / 2)
    if not backend.is_up:
        await backend.start()


async def _slow_server(
    deployment: SoakDeployment, place: Place, fault: Fault
) -> None:
    backend = deployment.servers[place]
    backend.slowdown = 5
    await asyncio.sleep(fault.for_s)
    backend.slowdown = 1


async def _publish(
    deployment: SoakDeployment, _place: Place, fault: Fault
) -> None:
    for _ in range(fault.variant % 3 + 1):
        version = await deployment.publish()
        deployment.record(EventKind.ACCEPTED, version=version)


async def _restart(deployment: SoakDeployment, place: Place) -> None:
    if deployment.processes[place.ip].returncode is not None:
        await deployment.start_place(place)
    _record(deployment, EventKind.MENDED, place, 'started')


def _record(
    deployment: SoakDeployment, kind: EventKind, place: Place, detail: str
) -> None:
    deployment.record(kind, subject=place.ip, detail=detail)


_INJECTORS: Final[Mapping[str, Injector]] = MappingProxyType(
    {
        'kill': _kill,
        'kill all': _kill_all,
        'pause': _pause,
        'stop': _stop,
        'reload': _reload,
        'link': _inject_link_fault,
        'store': _inject_store_fault,
        'crash server': crash_server,
        'replace server': _replace_server,
        'slow server': _slow_server,
        'publish': _publish,
    }
)
