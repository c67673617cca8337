"""Mutual TLS between peers, reloaded when its files change."""

import os
import ssl

from savoryspar import log
from savoryspar.membership import exceptions


class Contexts:
    """TLS contexts of both directions, loaded from the certificate files."""

    __slots__ = (
        "_ca",
        "_cert",
        "_client",
        "_key",
        "_loaded",
        "_logger",
        "_server",
    )

    def __init__(self, cert: str, key: str, ca: str):
        self._cert = cert
        self._key = key
        self._ca = ca
        self._logger = log.new_logger("membership")
        self._loaded = self._stamps()
        self._server = self._load(ssl.PROTOCOL_TLS_SERVER)
        self._client = self._load(ssl.PROTOCOL_TLS_CLIENT)

    def server(self) -> ssl.SSLContext:
        """Returns the context for incoming links."""
        return self._server

    def client(self) -> ssl.SSLContext:
        """Returns the context for outgoing links."""
        return self._client

    def refresh(self) -> bool:
        """Reloads the files if they changed and returns whether it did.

        If they cannot be loaded, the previous contexts stay in use.
        """
        stamps = self._stamps()
        if stamps == self._loaded:
            return False
        try:
            server = self._load(ssl.PROTOCOL_TLS_SERVER)
            client = self._load(ssl.PROTOCOL_TLS_CLIENT)
        except exceptions.MembershipError as exc:
            self._logger.error(f"Certificates not reloaded. {exc}")
            self._loaded = stamps
            return False
        self._loaded, self._server, self._client = stamps, server, client
        self._logger.notice("Certificates reloaded.")
        return True

    def _stamps(self) -> tuple:
        return tuple(map(_file_stamp, (self._cert, self._key, self._ca)))

    def _load(self, protocol: int) -> ssl.SSLContext:
        context = ssl.SSLContext(protocol)
        context.minimum_version = ssl.TLSVersion.TLSv1_3
        # Peers are addressed by IP address and authenticated by their CA only.
        context.check_hostname = False
        context.verify_mode = ssl.CERT_REQUIRED
        try:
            context.load_cert_chain(self._cert, self._key)
            context.load_verify_locations(self._ca)
        except (OSError, ssl.SSLError) as exc:
            raise exceptions.MembershipError(
                f"certificate {self._cert!r}, key {self._key!r} and CA"
                f" {self._ca!r} cannot be loaded: {exc}",
                "set [membership] certificate_file, key_file and ca_file to"
                " readable PEM files that match each other",
            ) from exc
        return context


def _file_stamp(path: str) -> tuple:
    try:
        status = os.stat(path)
    except OSError:
        return ()
    return (status.st_mtime_ns, status.st_size, status.st_ino)


def new_contexts(cert: str, key: str, ca: str) -> Contexts:
    """Loads the certificate files.

    Raises:
        MembershipError: A file is missing or does not match the others.
    """
    return Contexts(cert, key, ca)
