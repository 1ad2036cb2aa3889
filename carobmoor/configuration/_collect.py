"""Finding pieces by digest on this node, on other nodes, then in the store."""

import random
from collections.abc import Awaitable, Callable, Iterable, Mapping, Sequence
from typing import Final, NamedTuple

import msgspec

from carobmoor.configuration._pieces import changed_services, digest_of
from carobmoor.configuration._state import (
    Change,
    ConfigurationState,
    Snapshot,
    build_change,
)
from carobmoor.configuration._store import load_piece
from carobmoor.decoding import decode_json
from carobmoor.store import Store

PIECES_TARGET: Final = '/_carobmoor/configuration/pieces'
_MAX_SOURCES: Final = 4
_MAX_INLINE_PIECES: Final = 16

# Posts a body to a path of the node at `ip:port`; `None` if that fails.
PostToNode = Callable[[str, str, bytes], Awaitable[bytes | None]]


class PeerAccess(NamedTuple):
    """The access that a follower needs to the other nodes."""

    post: PostToNode
    # The addresses of the live nodes of a service.
    of_service: Callable[[str], Sequence[str]]
    # Whether this node is one of the few that poll the store every second.
    is_poller: Callable[[], bool]
    # The numbers of other nodes and of availability zones that are known.
    count_others: Callable[[], int]
    count_zones: Callable[[], int]
    # Whether a live node is known that is expected to report its version.
    expects_report: Callable[[], bool] = bool


class PieceCollector:
    """Collects pieces for a node."""

    def __init__(
        self,
        store: Store,
        state: ConfigurationState,
        peer_access: PeerAccess,
        rng: random.Random,
    ) -> None:
        """Collect for `state` from the other nodes and the store."""
        self._store = store
        self._state = state
        self._peer_access = peer_access
        self._rng = rng

    def sources(self, service: str, preferred: Sequence[str]) -> Sequence[str]:
        """List nodes to ask: the given ones, then some of the service."""
        others = list(self._peer_access.of_service(service))
        self._rng.shuffle(others)
        return [*filter(None, preferred), *others[:_MAX_SOURCES]]

    async def describe_change(self, snapshot: Snapshot) -> Sequence[Change]:
        """Describe the next version for other nodes.

        Returns nothing if this node missed versions in between.
        """
        if snapshot.head.version != self._state.version + 1:
            return ()
        new = snapshot.manifest
        changed = changed_services(self._state.manifest, new)
        digests = [new.common, *filter(None, changed.values())]
        if len(digests) > _MAX_INLINE_PIECES:
            texts: Mapping[str, str] = {}
        else:
            texts = await self.collect(digests, ())
        return [build_change(snapshot.head, new, changed, texts, '')]

    async def collect(
        self,
        digests: Sequence[str],
        sources: Iterable[str],
    ) -> Mapping[str, str]:
        """Find pieces; those found nowhere are left out.

        Each source is asked only for the pieces that are still missing.
        """
        found = self._find_locally(digests)
        for source in sources:
            missing = _missing(digests, found)
            if not missing:
                break
            found.update(await self._request_pieces(source, missing))
        for digest in _missing(digests, found):
            text = await load_piece(self._store, digest)
            if text is not None:
                found[digest] = text
        return found

    def _find_locally(self, digests: Sequence[str]) -> dict[str, str]:
        texts = {digest: self._state.find_text(digest) for digest in digests}
        return {
            digest: text for digest, text in texts.items() if text is not None
        }

    async def _request_pieces(
        self,
        source: str,
        digests: Sequence[str],
    ) -> Mapping[str, str]:
        request_body = msgspec.json.encode(digests)
        response_body = await self._peer_access.post(
            source, PIECES_TARGET, request_body
        )
        if response_body is None:
            return {}
        try:
            texts = decode_json(response_body, dict[str, str])
        except msgspec.DecodeError:
            return {}
        return verified_texts(texts)


def verified_texts(texts: Mapping[str, str]) -> Mapping[str, str]:
    """Return the pieces whose text matches their digest."""
    return {
        digest: text
        for digest, text in texts.items()
        if digest_of(text) == digest
    }


def handle_pieces_request(state: ConfigurationState, body: bytes) -> bytes:
    """Return the requested pieces that this node holds, by digest.

    Raises `msgspec.DecodeError` if the body cannot be decoded.
    """
    digests = decode_json(body, list[str])
    texts = {digest: state.find_text(digest) for digest in digests}
    return msgspec.json.encode(
        {digest: text for digest, text in texts.items() if text is not None},
    )


def _missing(
    digests: Sequence[str],
    found: Mapping[str, str],
) -> Sequence[str]:
    return [digest for digest in digests if digest not in found]
