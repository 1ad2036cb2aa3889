"""TLS contexts whose certificate is reloaded without closing connections.

The contexts come from the standard library. After a reload, new connections
use the new certificate; open ones are not affected.
"""

from carobmoor.tls._contexts import (
    CertificateFiles,
    caller_context,
    listener_context,
)
from carobmoor.tls._reload import (
    CertificateState,
    reload_if_changed,
    reload_periodically,
)

__all__ = [
    'CertificateFiles',
    'CertificateState',
    'caller_context',
    'listener_context',
    'reload_if_changed',
    'reload_periodically',
]
