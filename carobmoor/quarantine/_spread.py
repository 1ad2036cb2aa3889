"""Exchange of marks with the other nodes of the service."""

import asyncio
import contextlib
import random
import time
from collections.abc import Awaitable, Callable, Sequence
from typing import Final, NamedTuple

import msgspec

from carobmoor.quarantine._decide import expire
from carobmoor.quarantine._messages import Mark, decode_marks, encode_marks
from carobmoor.quarantine._state import QuarantineState, export, merge
from carobmoor.telemetry import logger_for

MARKS_TARGET: Final = '/_carobmoor/quarantine/marks'
_EXCHANGE_INTERVAL_S: Final = 5
_EXCHANGE_TIMEOUT_S: Final = 0.5
_MOST_PUSHES: Final = 64
# Per message of the periodic exchange.
_MOST_TOLD: Final = 100
_MOST_MESSAGE_BYTES: Final = 4_194_304
_log = logger_for('quarantine')

Ask = Callable[[str, bytes], Awaitable[bytes | None]]


class Neighbours(NamedTuple):
    """This node, and a function that returns all nodes of its service."""

    here: str
    nodes: Callable[[], Sequence[str]]

    def others(self) -> Sequence[str]:
        """Return the other nodes of the service."""
        return [node for node in self.nodes() if node != self.here]


class Spread:
    """Exchanges marks between the nodes of one service.

    `ask` sends a message to one node and returns the answer, or `None` if
    there was none.
    """

    def __init__(
        self,
        state: QuarantineState,
        neighbours: Neighbours,
        ask: Ask,
        rng: random.Random,
    ) -> None:
        """Start with a state to share and the means to reach other nodes."""
        self.state = state
        self.neighbours = neighbours
        self._ask = ask
        self._rng = rng

    def hear(self, body: bytes) -> None:
        """Merge a message of marks; discard it if oversized or malformed."""
        if len(body) > _MOST_MESSAGE_BYTES:
            _log.warning(
                'Oversized quarantine message discarded.', size_bytes=len(body)
            )
            return
        try:
            marks = decode_marks(body)
        except msgspec.DecodeError as error:
            _log.warning(
                'Malformed quarantine message discarded.', reason=str(error)
            )
            return
        if merge(self.state, marks, time.monotonic()):
            _log.info(
                'Marks updated by another node.', known=len(self.state.marks)
            )

    def answer(self, body: bytes) -> bytes:
        """Merge a message from another node and return own marks in reply."""
        self.hear(body)
        return self._some_marks()

    async def tell(self, marks: Sequence[Mark]) -> None:
        """Push marks at once to the other nodes, or to a sample of many."""
        now_s = time.monotonic()
        wanted = {mark.fingerprint for mark in marks}
        body = encode_marks(
            [
                mark
                for mark in export(self.state, now_s)
                if mark.fingerprint in wanted
            ],
        )
        others = self.neighbours.others()
        if len(others) > _MOST_PUSHES:
            others = self._rng.sample(others, _MOST_PUSHES)
        await asyncio.gather(*(self._exchange(other, body) for other in others))

    async def run(self) -> None:
        """Exchange marks with one random node every 5 s, until cancelled."""
        while True:
            await asyncio.sleep(_EXCHANGE_INTERVAL_S)
            expire(self.state, time.monotonic())
            others = self.neighbours.others()
            if others and self.state.marks:
                told = self._some_marks()
                await self._exchange(self._rng.choice(others), told)

    def _some_marks(self) -> bytes:
        """Encode marks and cleared marks, or a random sample of many."""
        marks = export(self.state, time.monotonic())
        if len(marks) > _MOST_TOLD:
            marks = self._rng.sample(marks, _MOST_TOLD)
        return encode_marks(marks)

    async def _exchange(self, node: str, body: bytes) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_EXCHANGE_TIMEOUT_S):
                answered = await self._ask(node, body)
                if answered is not None:
                    self.hear(answered)
