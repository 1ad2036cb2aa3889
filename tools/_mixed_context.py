"""A deployment with nodes of two builds, as the checks use it."""

import json
from collections.abc import Mapping, Sequence
from typing import Any, Final, NamedTuple

from carobmoor.transport import HeaderList, JsonAnswer
from stand_ins.deployment import Place, ServerPair
from tools._mixed_processes import MixedDeployment, send_request

PLACE: Final = Place('bookings', 'lagos', 'lagos-a')
DOCUMENT: Final = 'adeyemi'
CONTROL: Final = '/_carobmoor'
STATUS: Final = f'{CONTROL}/status'
GET: Final = 'GET'
POST: Final = 'POST'
_PLAIN: Final[HeaderList] = (
    (b'x-carobmoor-service', b'bookings'),
    (b'x-carobmoor-caller', b'plain'),
)
# Enough that both servers almost certainly get a request.
_REQUESTS: Final = 30


class Context(NamedTuple):
    """A deployment with one node of each build."""

    deployment: MixedDeployment
    first: ServerPair
    second: ServerPair

    @property
    def pairs(self) -> Sequence[ServerPair]:
        """Both pairs in order."""
        return (self.first, self.second)

    async def send(
        self,
        pair: ServerPair,
        headers: HeaderList = (),
        method: str = POST,
        target: str = '/x',
    ) -> JsonAnswer:
        """Send a plain caller's request to a node."""
        sent = (*_PLAIN, *headers)
        return await send_request(
            self.deployment.pool, pair.node, method, target, sent
        )

    async def control(
        self, pair: ServerPair, target: str, method: str = GET
    ) -> Any:
        """Send a control request to a node."""
        return await self.deployment.request_control(pair.node, method, target)

    async def servers(self, pair: ServerPair) -> Sequence[str]:
        """Send requests to a node; returns the backend servers that answered.

        The name is from the body: answers to plain callers name no owner.
        """
        answers = [await self.send(pair, method=GET) for _ in range(_REQUESTS)]
        replies = [json.loads(answer.body) for answer in answers]
        return sorted({one.get('backend_server', 'none') for one in replies})

    async def starts(self) -> int:
        """Count the requests that all backend servers started."""
        total = 0
        for pair in self.deployment.pairs:
            reply = await self.deployment.request_control(
                pair.backend_server, GET, '/_backend/starts'
            )
            total += sum(reply['starts'].values())
        return total

    async def metrics_page(self, pair: ServerPair) -> str:
        """Fetch the metrics page of a node."""
        target = f'{CONTROL}/metrics'
        answer = await send_request(
            self.deployment.pool, pair.node, GET, target
        )
        return str(answer.body.decode())

    async def marks(self, pair: ServerPair) -> Sequence[Mapping[str, Any]]:
        """List the marked requests known to a node."""
        listed: Sequence[Mapping[str, Any]] = await self.control(
            pair, f'{CONTROL}/quarantine'
        )
        return listed
