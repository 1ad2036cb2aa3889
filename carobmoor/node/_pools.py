"""Connection pools of a node, with TLS as its settings require."""

import ssl
from typing import NamedTuple

from carobmoor.node._settings import Settings
from carobmoor.tls import (
    CertificateFiles,
    CertificateState,
    caller_context,
    listener_context,
)
from carobmoor.transport import ConnectionPool


class Pools(NamedTuple):
    """One pool for each kind of peer, and the TLS state of the listener."""

    nodes: ConnectionPool
    backend_server: ConnectionPool
    platform: ConnectionPool
    listener: ssl.SSLContext | None
    certificate: CertificateState | None

    def close(self) -> None:
        """Close every idle connection."""
        self.nodes.close()
        self.backend_server.close()
        self.platform.close()


def make_pools(settings: Settings) -> Pools:
    """Create the pools; raise `OSError` if a certificate can't be used."""
    tls = settings.get('tls')
    if tls is None:
        pools = (ConnectionPool(), ConnectionPool(), ConnectionPool())
        return Pools(*pools, listener=None, certificate=None)
    files = CertificateFiles(
        tls['certificate_path'],
        tls['private_key_path'],
        tls['authority_path'],
    )
    listener = listener_context(files)
    outgoing_context = caller_context(files)
    return Pools(
        ConnectionPool(outgoing_context),
        ConnectionPool(outgoing_context if tls.get('backend_server') else None),
        ConnectionPool(outgoing_context if tls.get('platform') else None),
        listener,
        CertificateState(files, (listener, outgoing_context)),
    )
