"""The configuration that a node holds, and its most recent changes."""

from collections import OrderedDict
from collections.abc import Callable, Mapping, Sequence
from typing import Final, NamedTuple

from carobmoor.configuration._pieces import Manifest, assemble
from carobmoor.configuration._store import EMPTY_MANIFEST, AcceptedVersion, Head
from carobmoor.telemetry import logger_for

_MAX_KEPT_CHANGES: Final = 256
_MAX_OTHER_SERVICES: Final = 64
_MAX_CACHED_PIECES: Final = 4096
# Pieces of up to this size in all are sent with the change itself.
_MAX_INLINE_BYTES: Final = 8192
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


class MissedVersions(NamedTuple):
    """The versions that a node misses: single changes or a snapshot."""

    changes: Sequence[Change] = ()
    # Set if the node is too far behind for single changes.
    snapshot: Snapshot | None = None


class ConfigurationState:
    """The version in force on this node, which never falls."""

    def __init__(
        self,
        on_change: Callable[[AcceptedVersion], None],
        service: str = '',
    ) -> None:
        """Start without a configuration.

        `on_change` is called with each configuration that is put in force, and
        when a service of another node is added to it. `service` is the
        service of this node.
        """
        self.accepted: AcceptedVersion | None = None
        self.manifest = EMPTY_MANIFEST
        self.texts: dict[str, str] = {}
        # Pieces cached for other nodes, oldest first.
        self.cached_texts: OrderedDict[str, str] = OrderedDict()
        self.changes: OrderedDict[int, Change] = OrderedDict()
        self.service = service
        # Other services held for forwarding, least recently fetched first.
        self.other_services: OrderedDict[str, None] = OrderedDict()
        self._on_change = on_change

    @property
    def version(self) -> int:
        """The version in force, or 0 if there is none yet."""
        return 0 if self.accepted is None else self.accepted.head.version

    def find_text(self, digest: str) -> str | None:
        """Return the text of a piece; `None` if this node does not hold it."""
        return self.texts.get(digest) or self.cached_texts.get(digest)

    def cache_texts(self, texts: Mapping[str, str]) -> None:
        """Cache pieces for other nodes; evict the ones added first."""
        self.cached_texts.update(texts)
        while len(self.cached_texts) > _MAX_CACHED_PIECES:
            self.cached_texts.popitem(last=False)

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
            for service in self.other_services
            if snapshot.manifest.services.get(service) in held
        ]
        self.other_services = OrderedDict.fromkeys(kept)
        self.manifest = snapshot.manifest
        self._record_changes(changes)
        self._assemble(snapshot.head, held)
        _log.info('Configuration version in force.', version=self.version)
        return True

    def hold_other_service(self, service: str, text: str) -> None:
        """Hold the piece of another service.

        It is dropped when a version changes it, or when too many other
        services were fetched after it.
        """
        if self.accepted is None:
            return
        self.other_services[service] = None
        self.other_services.move_to_end(service)
        if len(self.other_services) > _MAX_OTHER_SERVICES:
            self.other_services.popitem(last=False)
        digest = self.manifest.services[service]
        self._assemble(self.accepted.head, {**self.texts, digest: text})

    def _record_changes(self, changes: Sequence[Change]) -> None:
        for change in changes:
            self.changes[change.head.version] = change
        while len(self.changes) > _MAX_KEPT_CHANGES:
            self.changes.popitem(last=False)

    def _assemble(self, head: Head, held: Mapping[str, str]) -> None:
        services = (self.service, *self.other_services)
        needed = self.manifest.digests_for(services)
        self.texts = {digest: held[digest] for digest in needed}
        document = assemble(self.manifest, self.texts, services)
        self.accepted = AcceptedVersion(head, document)
        self._on_change(self.accepted)


def build_change(
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
    if sum(len(text) for text in inline.values()) > _MAX_INLINE_BYTES:
        inline = {}
    return Change(head, manifest.common, changed, inline, origin)


def missed_versions_since(
    state: ConfigurationState, version: int
) -> MissedVersions:
    """Return the versions after `version` up to the one in force here.

    They are empty if that node is not behind. They are a snapshot for a node
    without a version and for one whose missing changes are no longer kept.
    """
    if state.accepted is None or version >= state.version:
        return MissedVersions()
    missing = range(version + 1, state.version + 1)
    if version and all(number in state.changes for number in missing):
        return MissedVersions([state.changes[number] for number in missing])
    return MissedVersions(
        snapshot=Snapshot(state.accepted.head, state.manifest)
    )


def snapshot_after(
    state: ConfigurationState,
    missed_versions: MissedVersions,
) -> Snapshot | None:
    """Return the newest of the versions that the state misses.

    Returns `None` if there is no newer one or the changes have a gap.
    """
    if missed_versions.snapshot is not None:
        is_newer = missed_versions.snapshot.head.version > state.version
        return missed_versions.snapshot if is_newer else None
    snapshot: Snapshot | None = None
    services = dict(state.manifest.services)
    version = state.version
    for change in missed_versions.changes:
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
