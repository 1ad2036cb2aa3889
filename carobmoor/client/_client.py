"""The client of a caller's process."""

import asyncio
import contextlib
import random
import ssl
from collections import defaultdict
from collections.abc import Sequence
from typing import Final, Self

import msgspec
from result import Err, Ok, Result

from carobmoor.client._dispatch import Dispatcher, failure_of
from carobmoor.client._headers import REQUEST_ID_HEADER
from carobmoor.client._messages import Call, CallAnswer
from carobmoor.membership import Member, Standing, decode_members
from carobmoor.outcomes import Failure
from carobmoor.routing import Candidate, RoutingState, keep_candidates
from carobmoor.transport import (
    Address,
    Answer,
    AnswerBroken,
    ConnectionPool,
    OutgoingRequest,
    header_of,
    parse_address,
    read_whole,
    request_json,
)

_REFRESH_INTERVAL_S: Final = 0.5
_REFRESH_TIMEOUT_S: Final = 1
_MOST_ANSWER_BYTES: Final = 67_108_864
_MEMBERS: Final = OutgoingRequest('GET', '/_carobmoor/members', ())


class Client:
    """Calls services through their owner nodes, in one hop.

    It learns the nodes from any of the `contacts`, each given as `ip:port`.
    Use it as an asynchronous context manager or call `close` in the end.
    """

    def __init__(
        self,
        contacts: Sequence[str],
        caller: str,
        region: str = '',
        availability_zone: str = '',
        tls: ssl.SSLContext | None = None,
    ) -> None:
        """Make a client for one caller; nothing is sent before `start`.

        With `tls`, as `carobmoor.tls.caller_context` makes it, every
        connection is encrypted.
        """
        self._contacts = [parse_address(contact) for contact in contacts]
        self._caller = caller
        self._pool = ConnectionPool(tls)
        self._rng = random.Random()
        self.dispatcher = Dispatcher(
            RoutingState(region, availability_zone),
            self._pool,
            self._rng,
        )
        self._refresher: asyncio.Task[None] | None = None

    async def __aenter__(self) -> Self:
        """Learn the nodes."""
        await self.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        """Close every connection."""
        await self.close()

    async def start(self) -> None:
        """Learn the nodes once, then keep learning in the background."""
        await self.refresh()
        self._refresher = asyncio.create_task(self._keep_refreshing())

    async def close(self) -> None:
        """Stop learning and close every connection."""
        if self._refresher is not None:
            self._refresher.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._refresher
        self._pool.close()

    async def call(self, call: Call) -> Result[CallAnswer, Failure]:
        """Send a call and read its whole answer.

        `Err(NotRun(...))` means that the request did not run, and
        `Err(Unknown(...))` that it may have run.
        """
        streamed = await self.stream(call)
        if isinstance(streamed, Err):
            return streamed
        answer = streamed.ok_value
        try:
            body = await read_whole(answer, _MOST_ANSWER_BYTES)
        except AnswerBroken as error:
            return Err(failure_of(error.failure))
        return Ok(_whole(answer, body))

    async def stream(self, call: Call) -> Result[Answer, Failure]:
        """Send a call and give its answer with the body still to be read."""
        return await self.dispatcher.dispatch(
            call._replace(caller=call.caller or self._caller),
        )

    async def refresh(self) -> bool:
        """Learn the nodes from the first contact that answers."""
        for contact in self._rng.sample(self._contacts, len(self._contacts)):
            if await self._learn_from(contact):
                return True
        return False

    async def _keep_refreshing(self) -> None:
        while True:
            await asyncio.sleep(_REFRESH_INTERVAL_S)
            await self.refresh()

    async def _learn_from(self, contact: Address) -> bool:
        told = await request_json(
            self._pool,
            contact,
            _MEMBERS,
            _REFRESH_TIMEOUT_S,
        )
        if isinstance(told, Err):
            return False
        try:
            members = decode_members(told.ok_value.body)
        except msgspec.DecodeError:
            return False
        learn_members(self.dispatcher.routing, members)
        return True


def learn_members(routing: RoutingState, members: Sequence[Member]) -> None:
    """Make the members that take work the candidates of their services."""
    by_service: defaultdict[str, list[Candidate]] = defaultdict(list)
    for member in members:
        candidates = by_service[member.service]
        if member.standing is Standing.ALIVE:
            candidates.append(
                Candidate(
                    parse_address(member.address),
                    member.region,
                    member.availability_zone,
                ),
            )
    for service, candidates in by_service.items():
        keep_candidates(routing, service, candidates)


def _whole(answer: Answer, body: bytes) -> CallAnswer:
    return CallAnswer(
        answer.head.status,
        answer.head.headers,
        body,
        str(answer.address),
        header_of(answer.head.headers, REQUEST_ID_HEADER),
    )
