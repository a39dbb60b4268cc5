"""Certificates of a fleet: one authority, and one certificate per process."""

from __future__ import annotations

import datetime
import os
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import ExtendedKeyUsageOID, NameOID

AUTHORITY_VALIDITY_DAYS = 3_650
CERTIFICATE_VALIDITY_DAYS = 90
PRIVATE_FILE_MODE = 0o600

#: Scheme of the URI in a certificate that holds the role and name of a process.
IDENTITY_SCHEME = "wasabimux"


def identity_uri(role: str, name: str) -> str:
    """Returns the URI for a process's certificate."""
    return f"{IDENTITY_SCHEME}://{role}/{name}"


class CertificateAuthority:
    """Certificate authority stored in a folder; created if it does not exist.

    Args:
        folder: Folder of `authority.pem` and `authority.key`.
        now: Current time, from which the validity of certificates is set.
    """

    def __init__(self, folder: Path, now: datetime.datetime) -> None:
        self._folder = folder
        self._now = now
        folder.mkdir(parents=True, exist_ok=True)
        if not self.certificate_path.exists():
            self._create()
        key = serialization.load_pem_private_key(self._key_path.read_bytes(), None)
        assert isinstance(key, ec.EllipticCurvePrivateKey)
        self._key = key
        self._certificate = x509.load_pem_x509_certificate(
            self.certificate_path.read_bytes()
        )

    @property
    def certificate_path(self) -> Path:
        """Path of the authority's certificate, which every process needs."""
        return self._folder / "authority.pem"

    @property
    def _key_path(self) -> Path:
        return self._folder / "authority.key"

    def issue(self, role: str, name: str) -> tuple[Path, Path]:
        """Issues a certificate and key to a process, replacing earlier ones.

        Args:
            role: Role of the process, `entry` or `agent`.
            name: Name of the process.

        Returns:
            Paths of the certificate and of the private key.
        """
        key = ec.generate_private_key(ec.SECP256R1())
        uri = x509.UniformResourceIdentifier(identity_uri(role, name))
        usages = [ExtendedKeyUsageOID.SERVER_AUTH, ExtendedKeyUsageOID.CLIENT_AUTH]
        certificate = (
            _certificate_builder(name, key, self._now, CERTIFICATE_VALIDITY_DAYS)
            .issuer_name(self._certificate.subject)
            .add_extension(x509.SubjectAlternativeName([uri]), critical=False)
            .add_extension(x509.ExtendedKeyUsage(usages), critical=False)
            .sign(self._key, hashes.SHA256())
        )
        certificate_path = self._folder / f"{name}.pem"
        key_path = self._folder / f"{name}.key"
        _write_private_file(key_path, _serialize_private_key(key))
        _write_private_file(
            certificate_path, certificate.public_bytes(serialization.Encoding.PEM)
        )
        return certificate_path, key_path

    def _create(self) -> None:
        key = ec.generate_private_key(ec.SECP256R1())
        builder = _certificate_builder(
            "wasabimux authority", key, self._now, AUTHORITY_VALIDITY_DAYS
        )
        name = x509.Name(
            [x509.NameAttribute(NameOID.COMMON_NAME, "wasabimux authority")]
        )
        constraints = x509.BasicConstraints(ca=True, path_length=0)
        certificate = (
            builder.issuer_name(name)
            .add_extension(constraints, critical=True)
            .sign(key, hashes.SHA256())
        )
        _write_private_file(self._key_path, _serialize_private_key(key))
        _write_private_file(
            self.certificate_path,
            certificate.public_bytes(serialization.Encoding.PEM),
        )


def _certificate_builder(
    name: str, key: ec.EllipticCurvePrivateKey, now: datetime.datetime, days: int
) -> x509.CertificateBuilder:
    subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
    return (
        x509.CertificateBuilder()
        .subject_name(subject)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - datetime.timedelta(minutes=5))
        .not_valid_after(now + datetime.timedelta(days=days))
    )


def _serialize_private_key(key: ec.EllipticCurvePrivateKey) -> bytes:
    return key.private_bytes(
        serialization.Encoding.PEM,
        serialization.PrivateFormat.PKCS8,
        serialization.NoEncryption(),
    )


def _write_private_file(path: Path, content: bytes) -> None:
    """Atomically replaces a file, readable only by its owner."""
    temporary_path = path.with_suffix(path.suffix + ".new")
    descriptor = os.open(
        temporary_path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, PRIVATE_FILE_MODE
    )
    with os.fdopen(descriptor, "wb") as file:
        file.write(content)
    temporary_path.replace(path)
