"""The faults that a seed draws; each one mends itself in the end."""

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable, Mapping, Sequence
from types import MappingProxyType
from typing import Final, NamedTuple

from carobmoor.history import Kind
from proofs._relay import Mode
from soak._stage import Place, Stage

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


class Fault(NamedTuple):
    """One fault: when it starts, how long it lasts and which node it hits."""

    at_s: float
    for_s: float
    kind: str
    number: int
    # Selects a variant of the kind, such as the mode of a link.
    variant: int


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
            rng.choice(tuple(_MAKERS)),
            rng.randrange(nodes),
            rng.randrange(1000),
        )
        for _ in range(count)
    )


async def play_fault(stage: Stage, fault: Fault) -> None:
    """Wait until a fault is due, inject it, and mend it after its time."""
    await asyncio.sleep(fault.at_s)
    place = stage.places[fault.number]
    await _MAKERS[fault.kind](stage, place, fault)


async def _kill(stage: Stage, place: Place, fault: Fault) -> None:
    if not stage.runs(place):
        return
    _note(stage, Kind.FAILED, place, 'killed')
    stage.send_signal(place, signal.SIGKILL)
    await stage.end(place)
    await asyncio.sleep(fault.for_s)
    await _start_again(stage, place)


async def _kill_all(stage: Stage, _place: Place, fault: Fault) -> None:
    await asyncio.gather(
        *(_kill(stage, place, fault) for place in stage.places),
    )


async def _pause(stage: Stage, place: Place, fault: Fault) -> None:
    if not stage.runs(place):
        return
    start = stage.starts[place]
    _note(stage, Kind.FAILED, place, 'paused')
    stage.send_signal(place, signal.SIGSTOP)
    await asyncio.sleep(fault.for_s)
    if stage.starts[place] == start and stage.runs(place):
        stage.send_signal(place, signal.SIGCONT)
    _note(stage, Kind.MENDED, place, 'paused')


async def _stop(stage: Stage, place: Place, _fault: Fault) -> None:
    if not stage.runs(place):
        return
    stage.stopping.add(place)
    _note(stage, Kind.FAILED, place, 'stopping')
    stage.send_signal(place, signal.SIGCONT)
    stage.send_signal(place, signal.SIGTERM)
    try:
        async with asyncio.timeout(_GRACE_S):
            await stage.end(place)
    except TimeoutError:
        _note(stage, Kind.FAILED, place, 'killed')
        stage.send_signal(place, signal.SIGKILL)
        await stage.end(place)
    await asyncio.sleep(_DOWN_S)
    stage.stopping.discard(place)
    await _start_again(stage, place)


async def _reload(stage: Stage, place: Place, _fault: Fault) -> None:
    # Until the interpreter runs code, the default action of the signal
    # would end the process.
    if stage.runs(place) and stage.heeds_reload(place):
        stage.send_signal(place, signal.SIGHUP)


async def _harm_link(stage: Stage, place: Place, fault: Fault) -> None:
    link = ('store', 'server')[fault.variant % 2]
    mode = _LINK_MODES[fault.variant % len(_LINK_MODES)]
    _note(stage, Kind.FAILED, place, f'{link} {mode.value}')
    stage.turn(link, place, mode, fault.variant % 400)
    await asyncio.sleep(fault.for_s)
    stage.turn(link, place, Mode.MEND, 0)
    _note(stage, Kind.MENDED, place, f'{link} {mode.value}')


async def _harm_store(stage: Stage, _place: Place, fault: Fault) -> None:
    name, strength = _STORE_FAULTS[fault.variant % len(_STORE_FAULTS)]
    stage.note(Kind.FAILED, subject='store', detail=f'{name} {strength}')
    await stage.set_faults(stage.platform, **{name: strength})
    await asyncio.sleep(fault.for_s)
    await stage.set_faults(stage.platform, **{name: 0})
    stage.note(Kind.MENDED, subject='store')


async def _crash_server(stage: Stage, place: Place, fault: Fault) -> None:
    backend = stage.servers[place]
    if not backend.is_up:
        return
    backend.crash()
    await asyncio.sleep(fault.for_s)
    if not backend.is_up:
        await backend.start()


async def _replace_server(stage: Stage, place: Place, fault: Fault) -> None:
    backend = stage.servers[place]
    if not backend.is_up:
        return
    await backend.leave()
    await asyncio.sleep(fault.for_s / 2)
    if not backend.is_up:
        await backend.start()


async def _slow_server(stage: Stage, place: Place, fault: Fault) -> None:
    backend = stage.servers[place]
    backend.slowdown = 5
    await asyncio.sleep(fault.for_s)
    backend.slowdown = 1


async def _publish(stage: Stage, _place: Place, fault: Fault) -> None:
    for _ in range(fault.variant % 3 + 1):
        version = await stage.publish()
        stage.note(Kind.ACCEPTED, version=version)


async def _start_again(stage: Stage, place: Place) -> None:
    if stage.processes[place.ip].returncode is not None:
        await stage.start_place(place)
    _note(stage, Kind.MENDED, place, 'started')


def _note(stage: Stage, kind: Kind, place: Place, detail: str) -> None:
    stage.note(kind, subject=place.ip, detail=detail)


Make = Callable[[Stage, Place, Fault], Awaitable[None]]
_MAKERS: Final[Mapping[str, Make]] = MappingProxyType(
    {
        'kill': _kill,
        'kill all': _kill_all,
        'pause': _pause,
        'stop': _stop,
        'reload': _reload,
        'link': _harm_link,
        'store': _harm_store,
        'crash server': _crash_server,
        'replace server': _replace_server,
        'slow server': _slow_server,
        'publish': _publish,
    }
)
