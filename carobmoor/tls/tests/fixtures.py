"""Test certificates, signed by an authority that is created per test."""

import datetime
import ipaddress
from pathlib import Path
from typing import NamedTuple

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from carobmoor.tls import CertificateFiles

_LIFETIME = datetime.timedelta(days=1)
_IP = '127.0.0.1'


class Authority(NamedTuple):
    """A certificate authority for a test."""

    key: ec.EllipticCurvePrivateKey
    certificate: x509.Certificate


def make_authority() -> Authority:
    """Create a certificate authority."""
    key = ec.generate_private_key(ec.SECP256R1())
    name = _name('test authority')
    builder = _builder(name, name, key.public_key()).add_extension(
        x509.BasicConstraints(ca=True, path_length=None),
        critical=True,
    )
    return Authority(key, builder.sign(key, hashes.SHA256()))


def write_certificate(
    authority: Authority,
    folder: Path,
    ip: str = _IP,
) -> CertificateFiles:
    """Issue a certificate for an IP address and write its PEM files."""
    key = ec.generate_private_key(ec.SECP256R1())
    issuer = authority.certificate.subject
    names = x509.SubjectAlternativeName(
        [x509.IPAddress(ipaddress.ip_address(ip))],
    )
    certificate = (
        _builder(_name('test node'), issuer, key.public_key())
        .add_extension(names, critical=False)
        .sign(authority.key, hashes.SHA256())
    )
    files = CertificateFiles(
        str(folder / 'certificate.pem'),
        str(folder / 'key.pem'),
        str(folder / 'authority.pem'),
    )
    pem = serialization.Encoding.PEM
    Path(files.certificate_path).write_bytes(certificate.public_bytes(pem))
    Path(files.private_key_path).write_bytes(
        key.private_bytes(
            pem,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        ),
    )
    Path(files.authority_path).write_bytes(
        authority.certificate.public_bytes(pem),
    )
    return files


def _builder(
    subject: x509.Name,
    issuer: x509.Name,
    public_key: ec.EllipticCurvePublicKey,
) -> x509.CertificateBuilder:
    now = datetime.datetime.now(datetime.UTC)
    return (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(issuer)
        .public_key(public_key)
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - _LIFETIME)
        .not_valid_after(now + _LIFETIME)
    )


def _name(common_name: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, common_name)])
