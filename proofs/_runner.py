"""Plays one scenario and checks its history."""

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable, Mapping, Sequence
from types import MappingProxyType
from typing import Any, Final, NamedTuple

from carobmoor import Client
from carobmoor.history import EventKind
from proofs._callers import Callers
from proofs._checker import check
from proofs._deployment import ScenarioDeployment, places_of
from proofs._relay import Mode
from proofs._scenario import Scenario, Step
from proofs._types import Breach, History
from stand_ins.deployment import read_example

_MS_PER_S: Final = 1000
_JOIN_TIMEOUT_S: Final = 120
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


class ScenarioRun:
    """The state of a scenario while it is played."""

    def __init__(
        self, scenario: Scenario, deployment: ScenarioDeployment, client: Client
    ) -> None:
        """Start at the first step, with version 1 in force."""
        self.scenario = scenario
        self.deployment = deployment
        self.rng = random.Random(scenario.get('seed', 1))
        self.callers = Callers(client, deployment, self.rng)
        self.document = _build_document(scenario)
        self.version = 1

    async def run(self) -> None:
        """Play all steps in order, then wait until all calls have ended."""
        for step in self.scenario['steps']:
            self.deployment.record(
                EventKind.MENDED, subject='step', detail=repr(step)
            )
            await _ACTIONS[step['do']](self, step)
        async with asyncio.timeout(_JOIN_TIMEOUT_S):
            await self.callers.join()

    async def publish(self, node_name: str, operator: int) -> None:
        """Publish on the known version, as one of several operators.

        `node_name` is the node to publish through, by default the first that
        runs; `operator` tells the operators of one step apart.
        """
        document = {**self.document, 'services': {**self.document['services']}}
        for name, service in document['services'].items():
            # Only the digest depends on the operator; answers must not, so a
            # setting is varied that does not affect them.
            changed = {
                **service,
                'queue_limit': 500 + self.version * 10 + operator,
            }
            document['services'][name] = changed
        pair = (
            self.deployment.pair_of(node_name)
            if node_name
            else self.deployment.running_pairs()[0]
        )
        answer = await self.deployment.try_publish(pair, document, self.version)
        if answer is not None and 'version' in answer:
            self.deployment.record(
                EventKind.ACCEPTED,
                version=answer['version'],
                digest=answer['digest'],
                subject=str(pair.node),
            )


async def play(scenario: Scenario) -> Outcome:
    """Play a scenario on processes of its own and check its history."""
    async with ScenarioDeployment() as deployment:
        await deployment.start(
            tuple(places_of(scenario)), _build_document(scenario)
        )
        contacts = [str(pair.node) for pair in deployment.pairs]
        caller = deployment.history_path('caller')
        async with Client(contacts, 'proofs', history_path=caller) as client:
            scenario_run = ScenarioRun(scenario, deployment, client)
            await scenario_run.run()
            await _settle(scenario_run)
        history = deployment.read_history()
        outcomes = scenario_run.callers.outcomes
        breaches = [
            *check(history, deployment.bounds()),
            *_unmet_expectations(scenario, history, outcomes),
        ]
    return Outcome(breaches, history, outcomes)


def _build_document(scenario: Scenario) -> Any:
    document = read_example(scenario['deployment'])
    for spec in scenario['places']:
        service = document['services'][spec['service']]
        service['slots'] = spec.get('slots', 4)
        service['progress_interval_ms'] = 1000
    return document


async def _start_flood(scenario_run: ScenarioRun, step: Any) -> None:
    scenario_run.callers.start(step)


async def _join(scenario_run: ScenarioRun, step: Any) -> None:
    await scenario_run.callers.join()


async def _wait(scenario_run: ScenarioRun, step: Any) -> None:
    await asyncio.sleep(step['for_ms'] / _MS_PER_S)


async def _send_signal(scenario_run: ScenarioRun, step: Any) -> None:
    process = step['process']
    if step['do'] in {'kill', 'freeze'}:
        scenario_run.deployment.record_fault(
            EventKind.FAILED, process, step['do']
        )
    scenario_run.deployment.send_signal(process, _SIGNALS[step['do']])
    if step['do'] == 'kill':
        await scenario_run.deployment.processes[process].wait()
    if step['do'] == 'thaw':
        scenario_run.deployment.record_fault(EventKind.MENDED, process, 'thaw')


async def _restart(scenario_run: ScenarioRun, step: Any) -> None:
    process = step['process']
    await scenario_run.deployment.processes[process].wait()
    await scenario_run.deployment.restart(process)
    scenario_run.deployment.record_fault(EventKind.MENDED, process, 'restart')


async def _set_link_mode(scenario_run: ScenarioRun, step: Any) -> None:
    scenario_run.deployment.set_link_mode(
        step['link'], Mode(step['do']), step.get('amount', 0)
    )


async def _set_store_faults(scenario_run: ScenarioRun, step: Any) -> None:
    faults = {name: setting for name, setting in step.items() if name != 'do'}
    await scenario_run.deployment.set_faults(
        scenario_run.deployment.platform, **faults
    )


async def _publish(scenario_run: ScenarioRun, step: Any) -> None:
    node_name = step.get('at', '')
    await asyncio.gather(
        *(
            scenario_run.publish(node_name, operator)
            for operator in range(step.get('operators', 1))
        ),
    )
    scenario_run.version = await scenario_run.deployment.read_version(
        scenario_run.version
    )


async def _set_backend_faults(scenario_run: ScenarioRun, step: Any) -> None:
    pair = scenario_run.deployment.pair_of(step['process'])
    faults = {
        name: setting
        for name, setting in step.items()
        if name not in {'do', 'process'}
    }
    await scenario_run.deployment.set_faults(pair.backend_server, **faults)


async def _settle(scenario_run: ScenarioRun) -> None:
    """Wait until all nodes have the last version, or its bound has passed."""
    deployment = scenario_run.deployment
    for _ in range(_SETTLE_TRIES):
        if await deployment.all_have_version(scenario_run.version):
            break
        await asyncio.sleep(_SETTLE_INTERVAL_S)
    await deployment.record_kept_versions()
    deployment.record(EventKind.MENDED, subject='nobody', detail='the end')


def _unmet_expectations(
    scenario: Scenario,
    history: History,
    outcomes: Mapping[str, Mapping[str, int]],
) -> Sequence[Breach]:
    expected = scenario.get('expect', {})
    unmet: list[str] = []
    for rank, min_share in expected.get('answered', {}).items():
        counted = outcomes.get(rank, {})
        share = counted.get('answered', 0) / max(1, sum(counted.values()))
        if share < min_share:
            unmet.append(f'{rank}: {share:.1%} answered, min. {min_share:.1%}')
    crashes = _count_events(history, EventKind.STARTED, 'crash-')
    if crashes > expected.get('crashes', crashes):
        unmet.append(f'too many starts of crashing requests: {crashes}')
    accepted = _count_events(history, EventKind.ACCEPTED, '')
    if accepted != expected.get('accepted', accepted):
        unmet.append(f'unexpected number of accepted versions: {accepted}')
    return [Breach('expected', detail, ()) for detail in unmet]


def _count_events(history: History, kind: EventKind, prefix: str) -> int:
    return sum(
        event.kind is kind and event.request_id.startswith(prefix)
        for event in history
    )


Action = Callable[[ScenarioRun, Any], Awaitable[None]]
_ACTIONS: Final[Mapping[str, Action]] = MappingProxyType(
    {
        'flood': _start_flood,
        'join': _join,
        'wait': _wait,
        'restart': _restart,
        'store': _set_store_faults,
        'publish': _publish,
        'backend': _set_backend_faults,
        **dict.fromkeys(_SIGNALS, _send_signal),
        **dict.fromkeys(Mode, _set_link_mode),
    },
)

__all__ = ['Outcome', 'Step', 'play']
