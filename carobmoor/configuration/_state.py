"""The configuration that one node holds, and the latest changes to it."""

from collections import OrderedDict
from collections.abc import Callable, Mapping, Sequence
from typing import Final, NamedTuple

from carobmoor.configuration._pieces import Manifest, assemble
from carobmoor.configuration._store import EMPTY, Accepted, Head
from carobmoor.telemetry import logger_for

_KEPT_CHANGES: Final = 256
_MOST_BORROWED: Final = 64
_MOST_SPARE_PIECES: Final = 4096
# Pieces up to this size travel with the change itself.
_MOST_INLINE_BYTES: Final = 8192
_log = logger_for('configuration')


class Change(NamedTuple):
    """What a version changed against the one before it."""

    head: Head
    common: str
    # New digests by service; empty where a service was removed.
    changed: Mapping[str, str]
    # Pieces that are small, as text by digest.
    inline: Mapping[str, str]
    # The node that holds the pieces that are not inline, or empty.
    origin: str


class Snapshot(NamedTuple):
    """A whole version by its manifest."""

    head: Head
    manifest: Manifest


class Offer(NamedTuple):
    """What one node tells another that is behind."""

    changes: Sequence[Change] = ()
    # For those too far behind for single changes.
    snapshot: Snapshot | None = None


class ConfigurationState:
    """The version in force on this node; it only rises."""

    def __init__(
        self,
        on_change: Callable[[Accepted], None],
        service: str = '',
    ) -> None:
        """Start without a configuration.

        `on_change` puts one in force; `service` is the node's own.
        """
        self.accepted: Accepted | None = None
        self.manifest = EMPTY
        self.texts: dict[str, str] = {}
        # Kept for other nodes: the pieces of what was accepted here.
        self.spare: OrderedDict[str, str] = OrderedDict()
        self.changes: OrderedDict[int, Change] = OrderedDict()
        self.service = service
        # Other services that are held for forwarding, oldest use first.
        self.borrowed: OrderedDict[str, None] = OrderedDict()
        self._on_change = on_change

    @property
    def version(self) -> int:
        """The version in force; 0 before the first."""
        return 0 if self.accepted is None else self.accepted.head.version

    def text_of(self, digest: str) -> str | None:
        """Give a piece if it is at hand."""
        return self.texts.get(digest) or self.spare.get(digest)

    def keep_spare(self, texts: Mapping[str, str]) -> None:
        """Keep pieces for other nodes, the latest ones."""
        self.spare.update(texts)
        while len(self.spare) > _MOST_SPARE_PIECES:
            self.spare.popitem(last=False)

    def put_in_force(
        self,
        snapshot: Snapshot,
        changes: Sequence[Change],
        texts: Mapping[str, str],
    ) -> bool:
        """Put a newer version in force; an older one is ignored.

        `texts` has the common piece and the own service's.
        """
        if snapshot.head.version <= self.version:
            return False
        held = {**self.texts, **texts}
        kept = [
            service
            for service in self.borrowed
            if snapshot.manifest.services.get(service) in held
        ]
        self.borrowed = OrderedDict.fromkeys(kept)
        self.manifest = snapshot.manifest
        self._note_changes(changes)
        self._assemble(snapshot.head, held)
        _log.info('Version in force.', version=self.version)
        return True

    def lend(self, service: str, text: str) -> None:
        """Hold another service's piece, for as long as it is in use."""
        if self.accepted is None:
            return
        self.borrowed[service] = None
        self.borrowed.move_to_end(service)
        if len(self.borrowed) > _MOST_BORROWED:
            self.borrowed.popitem(last=False)
        digest = self.manifest.services[service]
        self._assemble(self.accepted.head, {**self.texts, digest: text})

    def _note_changes(self, changes: Sequence[Change]) -> None:
        for change in changes:
            self.changes[change.head.version] = change
        while len(self.changes) > _KEPT_CHANGES:
            self.changes.popitem(last=False)

    def _assemble(self, head: Head, held: Mapping[str, str]) -> None:
        services = (self.service, *self.borrowed)
        needed = self.manifest.digests_for(services)
        self.texts = {digest: held[digest] for digest in needed}
        document = assemble(self.manifest, self.texts, services)
        self.accepted = Accepted(head, document)
        self._on_change(self.accepted)


def make_change(
    head: Head,
    manifest: Manifest,
    changed: Mapping[str, str],
    texts: Mapping[str, str],
    origin: str,
) -> Change:
    """Describe a version for the others, with its pieces when small."""
    wanted = {manifest.common, *filter(None, changed.values())}
    inline = {
        digest: text for digest, text in texts.items() if digest in wanted
    }
    if sum(len(text) for text in inline.values()) > _MOST_INLINE_BYTES:
        inline = {}
    return Change(head, manifest.common, changed, inline, origin)


def offer_since(state: ConfigurationState, version: int) -> Offer:
    """Tell a node at `version` how to come to the version in force here."""
    if state.accepted is None or version >= state.version:
        return Offer()
    missing = range(version + 1, state.version + 1)
    if version and all(each in state.changes for each in missing):
        return Offer([state.changes[each] for each in missing])
    return Offer(snapshot=Snapshot(state.accepted.head, state.manifest))


def apply_offer(
    state: ConfigurationState,
    offer: Offer,
) -> Snapshot | None:
    """Work out the version that an offer leads to; `None` if to none."""
    if offer.snapshot is not None:
        is_newer = offer.snapshot.head.version > state.version
        return offer.snapshot if is_newer else None
    snapshot: Snapshot | None = None
    services = dict(state.manifest.services)
    version = state.version
    for change in offer.changes:
        if change.head.version != version + 1:
            return None
        version += 1
        services.update(change.changed)
        snapshot = Snapshot(change.head, Manifest(change.common, services))
    if snapshot is None:
        return None
    remaining = {name: digest for name, digest in services.items() if digest}
    return snapshot._replace(
        manifest=snapshot.manifest._replace(services=remaining),
    )
