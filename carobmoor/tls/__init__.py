"""Certificates of a process, replaced on disk without cutting a connection.

Contexts are made by the standard library. A context that is reloaded serves
new connections with the new certificate; open ones go on as they are.
"""

from carobmoor.tls._contexts import (
    CertificateFiles,
    caller_context,
    listener_context,
)
from carobmoor.tls._reload import CertificateState, reload_if_changed, watch

__all__ = [
    'CertificateFiles',
    'CertificateState',
    'caller_context',
    'listener_context',
    'reload_if_changed',
    'watch',
]
