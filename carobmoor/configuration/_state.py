"""The configuration that a node holds, and its most recent changes."""

from collections import OrderedDict
from collections.abc import Callable, Mapping, Sequence
from typing import Final, NamedTuple

from carobmoor.configuration._pieces import Manifest, assemble
from carobmoor.configuration._store import EMPTY, Accepted, Head
from carobmoor.telemetry import logger_for

_KEPT_CHANGES: Final = 256
_MOST_BORROWED: Final = 64
_MOST_SPARE_PIECES: Final = 4096
# Pieces of up to this size in all are sent with the change itself.
_MOST_INLINE_BYTES: Final = 8192
_log = logger_for('configuration')


class Change(NamedTuple):
    """What a version changed compared with the one before it."""

    head: Head
    common: str
    # New digests by service; empty for a removed service.
    changed: Mapping[str, str]
    # The new pieces as text by digest; empty if they are too large.
    inline: Mapping[str, str]
    # The address of the node that holds the pieces, or empty.
    origin: str


class Snapshot(NamedTuple):
    """A whole version, described by its manifest."""

    head: Head
    manifest: Manifest


class Offer(NamedTuple):
    """What a node sends to one that is behind: single changes or a snapshot."""

    changes: Sequence[Change] = ()
    # Set if the receiver is too far behind for single changes.
    snapshot: Snapshot | None = None


class ConfigurationState:
    """The version in force on this node, which never falls."""

    def __init__(
        self,
        on_change: Callable[[Accepted], None],
        service: str = '',
    ) -> None:
        """Start without a configuration.

        `on_change` is called with each configuration that is put in force, and
        when a service of another node is added to it. `service` is the
        service of this node.
        """
        self.accepted: Accepted | None = None
        self.manifest = EMPTY
        self.texts: dict[str, str] = {}
        # Pieces cached for other nodes, oldest first.
        self.spare: OrderedDict[str, str] = OrderedDict()
        self.changes: OrderedDict[int, Change] = OrderedDict()
        self.service = service
        # Other services held for forwarding, least recently fetched first.
        self.borrowed: OrderedDict[str, None] = OrderedDict()
        self._on_change = on_change

    @property
    def version(self) -> int:
        """The version in force, or 0 if there is none yet."""
        return 0 if self.accepted is None else self.accepted.head.version

    def text_of(self, digest: str) -> str | None:
        """Return the text of a piece; `None` if this node does not hold it."""
        return self.texts.get(digest) or self.spare.get(digest)

    def keep_spare(self, texts: Mapping[str, str]) -> None:
        """Cache pieces for other nodes; evict the ones added first."""
        self.spare.update(texts)
        while len(self.spare) > _MOST_SPARE_PIECES:
            self.spare.popitem(last=False)

    def put_in_force(
        self,
        snapshot: Snapshot,
        changes: Sequence[Change],
        texts: Mapping[str, str],
    ) -> bool:
        """Put a newer version in force; return whether it was newer.

        `texts` must contain the common piece and, if it is declared, the
        piece of this node's service, unless they are held already.
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
        _log.info('Configuration version in force.', version=self.version)
        return True

    def lend(self, service: str, text: str) -> None:
        """Hold the piece of another service.

        It is dropped when a version changes it, or when too many other
        services were fetched after it.
        """
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
    """Describe a version for other nodes, with its pieces if they are small."""
    wanted = {manifest.common, *filter(None, changed.values())}
    inline = {
        digest: text for digest, text in texts.items() if digest in wanted
    }
    if sum(len(text) for text in inline.values()) > _MOST_INLINE_BYTES:
        inline = {}
    return Change(head, manifest.common, changed, inline, origin)


def offer_since(state: ConfigurationState, version: int) -> Offer:
    """Return what leads a node at `version` to the version in force here.

    The offer is empty if that node is not behind. It has a snapshot for a node
    without a version and for one whose missing changes are no longer kept.
    """
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
    """Return the version that an offer leads to.

    Returns `None` if it is not newer or the changes have a gap.
    """
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
