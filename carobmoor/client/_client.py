"""The client with which a caller calls services."""

import asyncio
import contextlib
import random
import ssl
import time
import uuid
from collections.abc import Sequence
from typing import Final, Self
from urllib.parse import quote

import msgspec
from result import Err, Ok, Result

from carobmoor.client._dispatch import Dispatcher
from carobmoor.client._headers import REQUEST_ID_HEADER
from carobmoor.client._messages import Call, CallAnswer
from carobmoor.client._policies import apply_policies
from carobmoor.client._prober import probe_candidates_periodically
from carobmoor.client._record import record_call_sent, record_outcome
from carobmoor.client._request import failure_of
from carobmoor.history import make_recorder
from carobmoor.membership import Member, MemberStatus, decode_members
from carobmoor.outcomes import Failure
from carobmoor.routing import Candidate, RoutingState, replace_candidates
from carobmoor.transport import (
    Address,
    Answer,
    AnswerIncomplete,
    ConnectionPool,
    OutgoingRequest,
    get_header,
    parse_address,
    read_whole,
    request_json,
)

_REFRESH_INTERVAL_S: Final = 5
_MS_PER_S: Final = 1000
# Time after the deadline of a call in which its answer may still be read.
_BODY_GRACE_S: Final = 0.25
# Minimum interval between refreshes triggered by failed calls.
_MIN_REFRESH_INTERVAL_S: Final = 0.5
_NOT_MODIFIED: Final = 304
_REFRESH_TIMEOUT_S: Final = 1
_MAX_ANSWER_BYTES: Final = 67_108_864
_MEMBERS_TARGET: Final = '/_carobmoor/members'
_POLICY_REQUEST: Final = OutgoingRequest('GET', '/_carobmoor/policy', ())
_ROUTABLE_STATUSES: Final = frozenset(
    (MemberStatus.ALIVE, MemberStatus.SUSPECT)
)


class Client:
    """Calls services by sending each call directly to an owner node.

    The client fetches the nodes of each service that it calls from any of
    the `contacts`, each given as `ip:port`: at the first call, then every
    few seconds, and sooner after a call failed.

    Use it as an asynchronous context manager, or call `start` and `close`.
    """

    def __init__(
        self,
        contacts: Sequence[str],
        caller: str,
        region: str = '',
        availability_zone: str = '',
        tls: ssl.SSLContext | None = None,
        history_path: str = '',
    ) -> None:
        """Create a client for one caller without sending anything.

        If `history_path` is set, each `call` and its outcome are appended to
        that file. If `tls` is set, every connection is encrypted; see
        `carobmoor.tls.caller_context`.
        """
        self._contacts = [parse_address(contact) for contact in contacts]
        self._caller = caller
        self._record = make_recorder(history_path, caller)
        self._pool = ConnectionPool(tls)
        self._rng = random.Random()
        self.dispatcher = Dispatcher(
            RoutingState(region, availability_zone),
            self._pool,
            self._rng,
        )
        # Entity tag of the last member list received, by service.
        self._etags: dict[str, str] = {}
        self._refresh_requested = asyncio.Event()
        self._background_tasks: Sequence[asyncio.Task[None]] = ()

    async def __aenter__(self) -> Self:
        """Start the background tasks."""
        await self.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        """Stop the background tasks and close every connection."""
        await self.close()

    async def start(self) -> None:
        """Start refreshing members and probing candidates in the background."""
        routing = self.dispatcher.routing
        self._background_tasks = (
            asyncio.create_task(self._refresh_periodically()),
            asyncio.create_task(
                probe_candidates_periodically(routing, self._pool, self._record)
            ),
        )

    async def close(self) -> None:
        """Stop the background tasks and close every connection."""
        for task in self._background_tasks:
            task.cancel()
        await asyncio.gather(*self._background_tasks, return_exceptions=True)
        self._pool.close()

    async def call(self, call: Call) -> Result[CallAnswer, Failure]:
        """Send a call and read its whole answer.

        Returns `Err(NotRun(...))` if the request did not run, and
        `Err(Unknown(...))` if it may have run.
        """
        call = call._replace(request_id=call.request_id or uuid.uuid4().hex)
        record_call_sent(self._record, call)
        call_result = await self._call(call)
        record_outcome(self._record, call, call_result)
        return call_result

    async def _call(self, call: Call) -> Result[CallAnswer, Failure]:
        body_deadline_s = (
            time.monotonic() + call.timeout_ms / _MS_PER_S + _BODY_GRACE_S
        )
        streamed = await self.stream(call)
        if isinstance(streamed, Err):
            return streamed
        answer = streamed.ok_value
        remaining_s = body_deadline_s - time.monotonic()
        try:
            body = await read_whole(answer, _MAX_ANSWER_BYTES, remaining_s)
        except AnswerIncomplete as error:
            return Err(failure_of(error.failure))
        return Ok(_to_call_answer(answer, body))

    async def stream(self, call: Call) -> Result[Answer, Failure]:
        """Send a call and return its answer, whose body is not read yet."""
        if call.service not in self._etags:
            await self._fetch_members(call.service)
        send_result = await self.dispatcher.dispatch(
            call._replace(caller=call.caller or self._caller),
        )
        if isinstance(send_result, Err):
            self._refresh_requested.set()
        return send_result

    async def refresh(self) -> bool:
        """Fetch the members of every service called so far.

        Returns whether this succeeded for all of them.
        """
        refreshed = [
            await self._fetch_members(service) for service in self._etags
        ]
        return all(refreshed)

    async def _refresh_periodically(self) -> None:
        while True:
            await self._fetch_policies()
            await asyncio.sleep(_MIN_REFRESH_INTERVAL_S)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_REFRESH_INTERVAL_S):
                    await self._refresh_requested.wait()
            self._refresh_requested.clear()
            await self.refresh()

    async def _fetch_policies(self) -> None:
        """Fetch the policies in force at a random contact and apply them."""
        fetched = await request_json(
            self._pool,
            self._rng.choice(self._contacts),
            _POLICY_REQUEST,
            _REFRESH_TIMEOUT_S,
        )
        if isinstance(fetched, Ok):
            apply_policies(self.dispatcher, fetched.ok_value.body)

    async def _fetch_members(self, service: str) -> bool:
        """Fetch the members of a service from the first answering contact."""
        for contact in self._rng.sample(self._contacts, len(self._contacts)):
            if await self._fetch_members_from(contact, service):
                return True
        return False

    async def _fetch_members_from(self, contact: Address, service: str) -> bool:
        etag = self._etags.get(service, '').encode()
        fetched = await request_json(
            self._pool,
            contact,
            OutgoingRequest(
                'GET',
                f'{_MEMBERS_TARGET}?service={quote(service)}',
                ((b'if-none-match', etag),),
            ),
            _REFRESH_TIMEOUT_S,
        )
        if isinstance(fetched, Err):
            return False
        answer = fetched.ok_value
        if answer.head.status == _NOT_MODIFIED:
            return True
        try:
            members = decode_members(answer.body)
        except msgspec.DecodeError:
            return False
        set_service_members(self.dispatcher.routing, service, members)
        self._etags[service] = get_header(answer.head.headers, b'etag')
        return True


def set_service_members(
    routing: RoutingState,
    service: str,
    members: Sequence[Member],
) -> None:
    """Replace the candidates of a service by its alive and suspect members.

    A suspect member is chosen only if no other candidate is left.
    """
    candidates = [
        Candidate(
            parse_address(member.address),
            member.region,
            member.availability_zone,
            member.incarnation,
            member.status is MemberStatus.SUSPECT,
        )
        for member in members
        if member.status in _ROUTABLE_STATUSES
    ]
    replace_candidates(routing, service, candidates, time.monotonic())


def _to_call_answer(answer: Answer, body: bytes) -> CallAnswer:
    return CallAnswer(
        answer.head.status,
        answer.head.headers,
        body,
        str(answer.address),
        get_header(answer.head.headers, REQUEST_ID_HEADER),
    )
