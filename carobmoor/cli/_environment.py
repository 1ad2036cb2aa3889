"""The operator's token and TLS files, from environment variables.

They are not command-line arguments, as others can read the arguments of a
process.
"""

import os
import ssl
from typing import Final

from carobmoor.cli._output import fail
from carobmoor.tls import CertificateFiles, caller_context
from carobmoor.transport import HeaderList

_TOKEN_VARIABLE: Final = 'CAROBMOOR_TOKEN'
_TLS_FILE_VARIABLES: Final = (
    'CAROBMOOR_CERTIFICATE',
    'CAROBMOOR_PRIVATE_KEY',
    'CAROBMOOR_AUTHORITY',
)


def token_headers() -> HeaderList:
    """Return the header with the operator's token; empty if none is set."""
    token = os.environ.get(_TOKEN_VARIABLE, '')
    if not token:
        return ()
    return ((b'authorization', f'Bearer {token}'.encode()),)


def tls_context_from_environment() -> ssl.SSLContext | None:
    """Return the context for calls to nodes, or `None` to call without TLS.

    Exits if the variables are incomplete or a file can't be used.
    """
    paths = [os.environ.get(name, '') for name in _TLS_FILE_VARIABLES]
    if not any(paths):
        return None
    if not all(paths):
        names = ', '.join(_TLS_FILE_VARIABLES)
        fail(f'incomplete TLS settings: set all or none of {names}')
    try:
        return caller_context(CertificateFiles(*paths))
    except OSError as error:
        fail(f'cannot load the TLS certificate files: {error}')
