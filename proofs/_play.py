"""Plays one scenario and checks its history."""

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable, Mapping, Sequence
from types import MappingProxyType
from typing import Any, Final, NamedTuple

from carobmoor import Client
from carobmoor.history import Kind
from proofs._checker import check
from proofs._flood import Callers
from proofs._language import Scenario, Step
from proofs._messages import Breach, History
from proofs._relay import Mode
from proofs._stage import Stage, places_of
from stand_ins.deployment import read_example

_MS_PER_S: Final = 1000
_LAST_WAIT_S: Final = 120
_SETTLE_TRIES: Final = 200
_SETTLE_INTERVAL_S: Final = 0.05
_STORE_TIMEOUT_TRIES: Final = 60
_SIGNALS: Final = MappingProxyType(
    {
        'kill': signal.SIGKILL,
        'freeze': signal.SIGSTOP,
        'thaw': signal.SIGCONT,
        'drain': signal.SIGTERM,
    },
)


class Outcome(NamedTuple):
    """The result of a scenario."""

    breaches: Sequence[Breach]
    history: History
    # The number of calls with each outcome, by rank.
    outcomes: Mapping[str, Mapping[str, int]]


class Play:
    """The state of a scenario while it is played."""

    def __init__(
        self, scenario: Scenario, stage: Stage, client: Client
    ) -> None:
        """Start at the first step, with version 1 in force."""
        self.scenario = scenario
        self.stage = stage
        self.rng = random.Random(scenario.get('seed', 1))
        self.callers = Callers(client, stage, self.rng)
        self.document = _document_of(scenario)
        self.version = 1

    async def run(self) -> None:
        """Play all steps in order, then wait until all calls have ended."""
        for step in self.scenario['steps']:
            self.stage.record(Kind.MENDED, subject='step', detail=repr(step))
            await _ACTIONS[step['do']](self, step)
        async with asyncio.timeout(_LAST_WAIT_S):
            await self.callers.join()

    async def publish(self, at: str, number: int) -> None:
        """Publish on the known version, as one of several operators.

        `at` names the node to publish through, by default the first that
        runs; `number` tells the operators of one step apart.
        """
        document = {**self.document, 'services': {**self.document['services']}}
        for name, service in document['services'].items():
            # Only the digest depends on the number; answers must not, so a
            # setting is varied that does not affect them.
            changed = {
                **service,
                'queue_limit': 500 + self.version * 10 + number,
            }
            document['services'][name] = changed
        pair = self.stage.pair_of(at) if at else self.stage.running()[0]
        told = await self.stage.put(pair, document, self.version)
        if told is not None and 'version' in told:
            self.stage.record(
                Kind.ACCEPTED,
                version=told['version'],
                digest=told['digest'],
                subject=str(pair.node),
            )


async def play(scenario: Scenario) -> Outcome:
    """Play a scenario on processes of its own and check its history."""
    async with Stage() as stage:
        await stage.start(tuple(places_of(scenario)), _document_of(scenario))
        contacts = [str(pair.node) for pair in stage.pairs]
        caller = stage.history_path('caller')
        async with Client(contacts, 'proofs', history_path=caller) as client:
            playing = Play(scenario, stage, client)
            await playing.run()
            await _settle(playing)
        history = stage.read_history()
        outcomes = playing.callers.outcomes
        breaches = [
            *check(history, stage.bounds()),
            *_disappointments(scenario, history, outcomes),
        ]
    return Outcome(breaches, history, outcomes)


def _document_of(scenario: Scenario) -> Any:
    document = read_example(scenario['deployment'])
    for lines in scenario['places']:
        service = document['services'][lines['service']]
        service['slots'] = lines.get('slots', 4)
        service['progress_interval_ms'] = 1000
    return document


async def _flood(playing: Play, step: Any) -> None:
    playing.callers.start(step)


async def _join(playing: Play, step: Any) -> None:
    await playing.callers.join()


async def _wait(playing: Play, step: Any) -> None:
    await asyncio.sleep(step['for_ms'] / _MS_PER_S)


async def _signal(playing: Play, step: Any) -> None:
    process = step['process']
    if step['do'] in {'kill', 'freeze'}:
        playing.stage.note(Kind.FAILED, process, step['do'])
    playing.stage.signal(process, _SIGNALS[step['do']])
    if step['do'] == 'kill':
        await playing.stage.processes[process].wait()
    if step['do'] == 'thaw':
        playing.stage.note(Kind.MENDED, process, 'thaw')


async def _restart(playing: Play, step: Any) -> None:
    process = step['process']
    await playing.stage.processes[process].wait()
    await playing.stage.restart(process)
    playing.stage.note(Kind.MENDED, process, 'restart')


async def _turn(playing: Play, step: Any) -> None:
    playing.stage.turn(step['link'], Mode(step['do']), step.get('amount', 0))


async def _store(playing: Play, step: Any) -> None:
    faults = {name: told for name, told in step.items() if name != 'do'}
    await playing.stage.set_faults(playing.stage.platform, **faults)


async def _publish(playing: Play, step: Any) -> None:
    at = step.get('at', '')
    await asyncio.gather(
        *(
            playing.publish(at, number)
            for number in range(step.get('operators', 1))
        ),
    )
    playing.version = await playing.stage.read_version(playing.version)


async def _backend(playing: Play, step: Any) -> None:
    pair = playing.stage.pair_of(step['process'])
    faults = {
        name: told
        for name, told in step.items()
        if name not in {'do', 'process'}
    }
    await playing.stage.set_faults(pair.backend_server, **faults)


async def _settle(playing: Play) -> None:
    """Wait until all nodes have the last version, or its bound has passed."""
    stage = playing.stage
    for _ in range(_SETTLE_TRIES):
        if await stage.all_have(playing.version):
            break
        await asyncio.sleep(_SETTLE_INTERVAL_S)
    await stage.write_kept()
    stage.record(Kind.MENDED, subject='nobody', detail='the end')


def _disappointments(
    scenario: Scenario,
    history: History,
    outcomes: Mapping[str, Mapping[str, int]],
) -> Sequence[Breach]:
    expected = scenario.get('expect', {})
    told: list[str] = []
    for rank, least in expected.get('answered', {}).items():
        counted = outcomes.get(rank, {})
        share = counted.get('answered', 0) / max(1, sum(counted.values()))
        if share < least:
            told.append(f'{rank}: {share:.1%} answered, min. {least:.1%}')
    crashes = _count_of(history, Kind.STARTED, 'crash-')
    if crashes > expected.get('crashes', crashes):
        told.append(f'too many starts of crashing requests: {crashes}')
    accepted = _count_of(history, Kind.ACCEPTED, '')
    if accepted != expected.get('accepted', accepted):
        told.append(f'unexpected number of accepted versions: {accepted}')
    return [Breach('expected', detail, ()) for detail in told]


def _count_of(history: History, kind: Kind, prefix: str) -> int:
    return sum(
        event.kind is kind and event.request_id.startswith(prefix)
        for event in history
    )


Action = Callable[[Play, Any], Awaitable[None]]
_ACTIONS: Final[Mapping[str, Action]] = MappingProxyType(
    {
        'flood': _flood,
        'join': _join,
        'wait': _wait,
        'restart': _restart,
        'store': _store,
        'publish': _publish,
        'backend': _backend,
        **dict.fromkeys(_SIGNALS, _signal),
        **dict.fromkeys(Mode, _turn),
    },
)

__all__ = ['Outcome', 'Step', 'play']
