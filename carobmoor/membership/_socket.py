"""The datagram socket of a node, which carries signed JSON arrays."""

import asyncio
from collections.abc import Callable
from typing import Any

import msgspec

from carobmoor.membership._messages import Datagram, decode_datagram
from carobmoor.membership._signing import seal, unseal
from carobmoor.transport import parse_address


class TrafficCounts:
    """Counts of the datagrams of one node."""

    def __init__(self) -> None:
        """Start at zero."""
        self.sent = 0
        self.sent_bytes = 0
        self.received = 0
        self.received_bytes = 0
        # Received datagrams with a wrong tag or malformed.
        self.rejected = 0


class DatagramSocket(asyncio.DatagramProtocol):
    """Seals outgoing datagrams and passes on valid incoming ones."""

    def __init__(
        self,
        cluster_key: bytes,
        on_datagram: Callable[[Datagram], None],
    ) -> None:
        """Start closed; nothing is sent before `open`."""
        self.traffic = TrafficCounts()
        self._cluster_key = cluster_key
        self._on_datagram = on_datagram
        self._transport: asyncio.DatagramTransport | None = None

    async def open(self, address: str) -> None:
        """Bind to an address given as `ip:port`."""
        loop = asyncio.get_running_loop()
        local_address = parse_address(address)
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=local_address
        )

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def connection_made(self, transport: Any) -> None:
        """Store the transport that the event loop made."""
        self._transport = transport

    def datagram_received(self, sealed: bytes, _: Any) -> None:
        """Pass on a valid datagram; an invalid one is only counted."""
        self.traffic.received += 1
        self.traffic.received_bytes += len(sealed)
        datagram = self._decode(sealed)
        if datagram is None:
            self.traffic.rejected += 1
        else:
            self._on_datagram(datagram)

    def send(self, address: str, datagram: Datagram) -> None:
        """Send a datagram; delivery is not guaranteed."""
        if self._transport is None:
            return
        sealed = seal(self._cluster_key, msgspec.json.encode(datagram))
        self.traffic.sent += 1
        self.traffic.sent_bytes += len(sealed)
        self._transport.sendto(sealed, parse_address(address))

    def _decode(self, sealed: bytes) -> Datagram | None:
        body = unseal(self._cluster_key, sealed)
        if body is None:
            return None
        try:
            return decode_datagram(body)
        except msgspec.DecodeError:
            return None
