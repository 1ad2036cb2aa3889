"""The task that exchanges news with other nodes."""

import asyncio
import random
import time
from typing import Final

import msgspec
from result import Err

from carobmoor.membership._merge import confirm_dead, merge, suspect
from carobmoor.membership._messages import Member, decode_members
from carobmoor.membership._state import MembershipState
from carobmoor.telemetry import logger_for
from carobmoor.transport import (
    Address,
    ConnectionPool,
    OutgoingRequest,
    parse_address,
    request_json,
)

_INTERVAL_S: Final = 0.5
_TIMEOUT_S: Final = 0.5
_SUSPICION_S: Final = 2
_TARGET: Final = '/_carobmoor/gossip'
_HEADERS: Final = ((b'content-type', b'application/json'),)
_log = logger_for('membership')


class Gossip:
    """Tells one other node at a time all that this node knows."""

    def __init__(
        self,
        state: MembershipState,
        pool: ConnectionPool,
        rng: random.Random,
    ) -> None:
        """Bind the state to the pool that carries the news."""
        self.state = state
        self._pool = pool
        self._rng = rng

    async def run(self) -> None:
        """Exchange news at a fixed interval until cancelled."""
        while True:
            await self.round()
            await asyncio.sleep(_INTERVAL_S)

    async def round(self) -> None:
        """Exchange news with one member and judge the suspects."""
        others = self.state.others()
        if others:
            await self.exchange(parse_address(self._rng.choice(others).address))
        confirm_dead(self.state, _SUSPICION_S, time.monotonic())

    async def exchange(self, address: Address) -> bool:
        """Tell an address what is known and merge what it knows."""
        body = msgspec.json.encode(list(self.state.members.values()))
        request = OutgoingRequest('POST', _TARGET, _HEADERS, body)
        told = await request_json(self._pool, address, request, _TIMEOUT_S)
        if isinstance(told, Err):
            suspect(self.state, str(address), time.monotonic())
            return False
        self.hear(told.ok_value.body)
        return True

    def hear(self, body: bytes) -> None:
        """Merge the members of a message; a malformed one changes nothing."""
        try:
            news = decode_members(body)
        except msgspec.DecodeError as error:
            _log.warning('News not readable.', reason=str(error))
            return
        merge(self.state, news, time.monotonic())

    def known(self) -> list[Member]:
        """Give every member that this node knows."""
        return list(self.state.members.values())
