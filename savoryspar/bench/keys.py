"""A CA and certificates for links between peers in tests and the demo."""

import datetime
import ipaddress
import pathlib

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec

VALID_DAYS = 2
CLOCK_SKEW = datetime.timedelta(hours=1)


class PeerFiles:
    """The PEM files of one peer."""

    __slots__ = ("ca", "certificate", "key")

    def __init__(
        self, certificate: pathlib.Path, key: pathlib.Path, ca: pathlib.Path
    ):
        self.certificate = certificate
        self.key = key
        self.ca = ca

    def settings(self) -> dict[str, str]:
        """Returns the ``[membership]`` settings that name the files."""
        return {
            "certificate_file": str(self.certificate),
            "key_file": str(self.key),
            "ca_file": str(self.ca),
        }


class TestCa:
    """Issues certificates to peers; not for production."""

    __slots__ = ("_certificate", "_directory", "_key")

    def __init__(
        self,
        directory: pathlib.Path,
        key: ec.EllipticCurvePrivateKey,
        certificate: x509.Certificate,
    ):
        self._directory = directory
        self._key = key
        self._certificate = certificate

    def issue(self, name: str, days: int = VALID_DAYS) -> PeerFiles:
        """Writes a certificate and key for a name, replacing previous ones.

        Args:
            name: Common name and stem of the files.
            days: Days until it expires; negative for an expired one.
        """
        key = ec.generate_private_key(ec.SECP256R1())
        builder = (
            _new_builder(name, self._certificate.subject, key, days)
            .add_extension(x509.BasicConstraints(False, None), critical=True)
            .add_extension(
                x509.SubjectAlternativeName(
                    [x509.IPAddress(ipaddress.ip_address("127.0.0.1"))]
                ),
                critical=False,
            )
            .add_extension(
                x509.AuthorityKeyIdentifier.from_issuer_public_key(
                    self._key.public_key()
                ),
                critical=False,
            )
        )
        certificate = builder.sign(self._key, hashes.SHA256())
        files = PeerFiles(
            self._directory / f"{name}.pem",
            self._directory / f"{name}.key",
            self._directory / "ca.pem",
        )
        _write_key(files.key, key)
        _write(files.certificate, _pem(certificate))
        return files


def new_test_ca(directory: pathlib.Path) -> TestCa:
    """Creates a CA and writes its certificate as ``ca.pem``."""
    directory.mkdir(parents=True, exist_ok=True)
    key = ec.generate_private_key(ec.SECP256R1())
    name = "savoryspar test CA"
    subject = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, name)])
    certificate = (
        _new_builder(name, subject, key, VALID_DAYS)
        .add_extension(x509.BasicConstraints(True, 0), critical=True)
        .add_extension(
            x509.KeyUsage(
                digital_signature=False,
                content_commitment=False,
                key_encipherment=False,
                data_encipherment=False,
                key_agreement=False,
                key_cert_sign=True,
                crl_sign=True,
                encipher_only=False,
                decipher_only=False,
            ),
            critical=True,
        )
        .sign(key, hashes.SHA256())
    )
    _write(directory / "ca.pem", _pem(certificate))
    return TestCa(directory, key, certificate)


def _new_builder(
    name: str, issuer: x509.Name, key: ec.EllipticCurvePrivateKey, days: int
) -> x509.CertificateBuilder:
    now = datetime.datetime.now(datetime.UTC)
    ends = now + datetime.timedelta(days=days)
    return (
        x509.CertificateBuilder()
        .subject_name(
            x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, name)])
        )
        .issuer_name(issuer)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(min(now, ends) - CLOCK_SKEW)
        .not_valid_after(ends)
        .add_extension(
            x509.SubjectKeyIdentifier.from_public_key(key.public_key()),
            critical=False,
        )
    )


def _pem(certificate: x509.Certificate) -> bytes:
    return certificate.public_bytes(serialization.Encoding.PEM)


def _write_key(path: pathlib.Path, key: ec.EllipticCurvePrivateKey) -> None:
    _write(
        path,
        key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        ),
    )


def _write(path: pathlib.Path, content: bytes) -> None:
    # Replaced atomically, as a running process may read the file at any time.
    temporary = path.with_name(path.name + ".new")
    temporary.touch(mode=0o600)
    temporary.write_bytes(content)
    temporary.replace(path)
