"""Reloading of replaced certificate files."""

import asyncio
import ssl
from collections.abc import Sequence
from pathlib import Path
from typing import Final

from carobmoor.telemetry import logger_for
from carobmoor.tls._contexts import CertificateFiles

_CHECK_INTERVAL_S: Final = 5
_log = logger_for('tls')


class CertificateState:
    """The TLS contexts that use one set of certificate files."""

    def __init__(
        self,
        files: CertificateFiles,
        contexts: Sequence[ssl.SSLContext],
    ) -> None:
        """Record the current modification times of the files."""
        self.files = files
        self.contexts = contexts
        self.loaded_mtimes_ns = _mtimes_ns(files)


def reload_if_changed(state: CertificateState) -> bool:
    """Reload the contexts if the files changed; return whether it was done.

    If the certificate and key can't be loaded, for example because they don't
    match halfway through a replacement, the contexts keep the old pair and
    the next check tries again.
    """
    mtimes_ns = _mtimes_ns(state.files)
    if mtimes_ns == state.loaded_mtimes_ns:
        return False
    try:
        _load(state)
    except (OSError, ssl.SSLError) as error:
        _log.warning(
            'Certificate reload failed; retrying at the next check.',
            reason=str(error),
        )
        return False
    state.loaded_mtimes_ns = mtimes_ns
    _log.info('Certificate reloaded.', path=state.files.certificate_path)
    return True


async def reload_periodically(state: CertificateState) -> None:
    """Check the files for changes every 5 s until cancelled."""
    while True:
        await asyncio.sleep(_CHECK_INTERVAL_S)
        reload_if_changed(state)


def _load(state: CertificateState) -> None:
    files = state.files
    # Load into a separate context first: a failed load leaves a context with
    # a certificate but no key.
    scratch_context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    scratch_context.load_cert_chain(
        files.certificate_path, files.private_key_path
    )
    for context in state.contexts:
        context.load_cert_chain(files.certificate_path, files.private_key_path)
        context.load_verify_locations(files.authority_path)


def _mtimes_ns(files: CertificateFiles) -> Sequence[int]:
    return [
        Path(path).stat().st_mtime_ns if Path(path).exists() else 0
        for path in files
    ]
