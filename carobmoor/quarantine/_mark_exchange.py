"""Exchange of marks with the other nodes of the service."""

import asyncio
import contextlib
import random
import time
from collections.abc import Awaitable, Callable, Sequence
from typing import Final, NamedTuple

import msgspec

from carobmoor.quarantine._decide import drop_expired
from carobmoor.quarantine._messages import Mark, decode_marks, encode_marks
from carobmoor.quarantine._state import (
    QuarantineState,
    export_marks,
    merge_marks,
)
from carobmoor.telemetry import logger_for

MARKS_TARGET: Final = '/_carobmoor/quarantine/marks'
_EXCHANGE_INTERVAL_S: Final = 5
_EXCHANGE_TIMEOUT_S: Final = 0.5
_MAX_PUSH_TARGETS: Final = 64
# Per message of the periodic exchange.
_MAX_MARKS_PER_MESSAGE: Final = 100
_MAX_MESSAGE_BYTES: Final = 4_194_304
_log = logger_for('quarantine')

SendMessage = Callable[[str, bytes], Awaitable[bytes | None]]


class ServiceNodes(NamedTuple):
    """This node, and a function that returns all nodes of its service."""

    this_node: str
    list_nodes: Callable[[], Sequence[str]]

    def other_nodes(self) -> Sequence[str]:
        """Return the other nodes of the service."""
        return [node for node in self.list_nodes() if node != self.this_node]


class MarkExchange:
    """Exchanges marks between the nodes of one service.

    `send` sends a message to one node and returns the answer, or `None` if
    there was none.
    """

    def __init__(
        self,
        state: QuarantineState,
        service_nodes: ServiceNodes,
        send: SendMessage,
        rng: random.Random,
    ) -> None:
        """Start with a state to share and the means to reach other nodes."""
        self.state = state
        self.service_nodes = service_nodes
        self._send = send
        self._rng = rng

    def receive(self, body: bytes) -> None:
        """Merge a message of marks; discard it if oversized or malformed."""
        if len(body) > _MAX_MESSAGE_BYTES:
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
        if merge_marks(self.state, marks, time.monotonic()):
            _log.info(
                'Marks updated by another node.', known=len(self.state.marks)
            )

    def answer(self, body: bytes) -> bytes:
        """Merge a message from another node and return own marks in reply."""
        self.receive(body)
        return self._encode_sample()

    async def push(self, marks: Sequence[Mark]) -> None:
        """Push marks at once to the other nodes, or to a sample of many."""
        now_s = time.monotonic()
        fingerprints = {mark.fingerprint for mark in marks}
        body = encode_marks(
            [
                mark
                for mark in export_marks(self.state, now_s)
                if mark.fingerprint in fingerprints
            ],
        )
        other_nodes = self.service_nodes.other_nodes()
        if len(other_nodes) > _MAX_PUSH_TARGETS:
            other_nodes = self._rng.sample(other_nodes, _MAX_PUSH_TARGETS)
        await asyncio.gather(
            *(self._exchange(other, body) for other in other_nodes)
        )

    async def run(self) -> None:
        """Every 5 s, drop expired marks and exchange the rest, until cancelled.

        Nothing is sent while no mark is known; the other node is random.
        """
        while True:
            await asyncio.sleep(_EXCHANGE_INTERVAL_S)
            drop_expired(self.state, time.monotonic())
            other_nodes = self.service_nodes.other_nodes()
            if other_nodes and self.state.marks:
                message = self._encode_sample()
                await self._exchange(self._rng.choice(other_nodes), message)

    def _encode_sample(self) -> bytes:
        """Encode marks and cleared marks, or a random sample of many."""
        marks = export_marks(self.state, time.monotonic())
        if len(marks) > _MAX_MARKS_PER_MESSAGE:
            marks = self._rng.sample(marks, _MAX_MARKS_PER_MESSAGE)
        return encode_marks(marks)

    async def _exchange(self, node: str, body: bytes) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_EXCHANGE_TIMEOUT_S):
                answer = await self._send(node, body)
                if answer is not None:
                    self.receive(answer)
