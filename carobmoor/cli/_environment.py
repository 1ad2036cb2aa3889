"""What commands take from the environment: the token and certificates.

Neither is an argument, as the arguments of a process can be read by others.
"""

import os
import ssl
from typing import Final

from carobmoor.cli._output import fail
from carobmoor.tls import CertificateFiles, caller_context
from carobmoor.transport import HeaderList

_TOKEN_VARIABLE: Final = 'CAROBMOOR_TOKEN'
_FILE_VARIABLES: Final = (
    'CAROBMOOR_CERTIFICATE',
    'CAROBMOOR_PRIVATE_KEY',
    'CAROBMOOR_AUTHORITY',
)


def token_headers() -> HeaderList:
    """Give the header with the operator's token, if there is one."""
    token = os.environ.get(_TOKEN_VARIABLE, '')
    if not token:
        return ()
    return ((b'authorization', f'Bearer {token}'.encode()),)


def tls_of_environment() -> ssl.SSLContext | None:
    """Make the context for calls to nodes; `None` calls without TLS."""
    paths = [os.environ.get(name, '') for name in _FILE_VARIABLES]
    if not any(paths):
        return None
    if not all(paths):
        names = ', '.join(_FILE_VARIABLES)
        fail(f'set all or none of {names}')
    try:
        return caller_context(CertificateFiles(*paths))
    except OSError as error:
        fail(f'certificate not usable: {error}')
