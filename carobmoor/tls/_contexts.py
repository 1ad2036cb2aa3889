"""TLS contexts for listeners and for outgoing connections."""

import ssl
from typing import NamedTuple


class CertificateFiles(NamedTuple):
    """Paths of PEM files; an instance's image or agent provides the files."""

    # The certificate of this process, followed by any intermediate ones.
    certificate_path: str
    private_key_path: str
    # The certificate authority that signs the certificates of all peers.
    authority_path: str


def listener_context(files: CertificateFiles) -> ssl.SSLContext:
    """Create the TLS context of a listener.

    Client certificates are optional; one that the authority did not sign is
    rejected. Raises `OSError` or `ssl.SSLError` if a file can't be loaded.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_cert_chain(files.certificate_path, files.private_key_path)
    context.load_verify_locations(files.authority_path)
    context.verify_mode = ssl.CERT_OPTIONAL
    return context


def caller_context(files: CertificateFiles) -> ssl.SSLContext:
    """Create the TLS context of outgoing connections.

    The peer must present a certificate that the authority signed for its IP
    address. Raises `OSError` or `ssl.SSLError` if a file can't be loaded.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_verify_locations(files.authority_path)
    context.load_cert_chain(files.certificate_path, files.private_key_path)
    return context
