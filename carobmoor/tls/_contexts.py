"""The two kinds of contexts: for a listener and for connections out."""

import ssl
from typing import NamedTuple


class CertificateFiles(NamedTuple):
    """Paths of PEM files; instances get them from their image or agent."""

    # The certificate of this process, followed by any intermediate ones.
    certificate_path: str
    private_key_path: str
    # The authority that signs the certificates of all peers.
    authority_path: str


def listener_context(files: CertificateFiles) -> ssl.SSLContext:
    """Make the context of a listener.

    Callers may show a certificate; one that the authority did not sign is
    refused. Raises `OSError` or `ssl.SSLError` when a file can't be used.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_cert_chain(files.certificate_path, files.private_key_path)
    context.load_verify_locations(files.authority_path)
    context.verify_mode = ssl.CERT_OPTIONAL
    return context


def caller_context(files: CertificateFiles) -> ssl.SSLContext:
    """Make the context of connections out.

    The peer must show a certificate of the authority that names its IP
    number. Raises `OSError` or `ssl.SSLError` when a file can't be used.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_verify_locations(files.authority_path)
    context.load_cert_chain(files.certificate_path, files.private_key_path)
    return context
