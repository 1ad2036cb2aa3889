"""Connection pools of a node, with TLS as its settings require."""

import ssl
from typing import NamedTuple

from carobmoor.node._settings import InstanceSettings, Settings
from carobmoor.tls import (
    CertificateFiles,
    CertificateState,
    caller_context,
    listener_context,
)
from carobmoor.transport import (
    ConnectionPool,
    MemoryAccount,
    process_limits,
)


class Pools(NamedTuple):
    """One pool for each kind of peer, and the TLS state of the listener."""

    nodes: ConnectionPool
    backend_server: ConnectionPool
    platform: ConnectionPool
    listener: ssl.SSLContext | None
    certificate: CertificateState | None
    # What all connections of the process hold together.
    account: MemoryAccount

    def close(self) -> None:
        """Close every idle connection."""
        self.nodes.close()
        self.backend_server.close()
        self.platform.close()


def make_pools(settings: Settings) -> Pools:
    """Create the pools; raise `OSError` if a certificate can't be used."""
    tls = settings.get('tls')
    instance = settings.get('instance', InstanceSettings())
    account = MemoryAccount(
        process_limits(
            instance.get('memory_mb', 0), instance.get('max_descriptors', 0)
        )
    )
    if tls is None:
        return Pools(
            ConnectionPool(account=account),
            ConnectionPool(account=account),
            ConnectionPool(account=account),
            None,
            None,
            account,
        )
    files = CertificateFiles(
        tls['certificate_path'],
        tls['private_key_path'],
        tls['authority_path'],
    )
    listener = listener_context(files)
    outgoing_context = caller_context(files)
    return Pools(
        ConnectionPool(outgoing_context, account),
        ConnectionPool(
            outgoing_context if tls.get('backend_server') else None, account
        ),
        ConnectionPool(
            outgoing_context if tls.get('platform') else None, account
        ),
        listener,
        CertificateState(files, (listener, outgoing_context)),
        account,
    )
