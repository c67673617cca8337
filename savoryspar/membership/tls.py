"""Mutual TLS between peers, reloaded when its files change."""

import os
import ssl

from savoryspar import log
from savoryspar.membership import exceptions


class Contexts:
    """TLS contexts of both directions, always those of the current files."""

    __slots__ = (
        "_ca",
        "_cert",
        "_client",
        "_key",
        "_logger",
        "_seen",
        "_server",
    )

    def __init__(self, cert: str, key: str, ca: str):
        self._cert = cert
        self._key = key
        self._ca = ca
        self._logger = log.new_logger("membership")
        self._seen = self._stamps()
        self._server = self._load(ssl.PROTOCOL_TLS_SERVER)
        self._client = self._load(ssl.PROTOCOL_TLS_CLIENT)

    def server(self) -> ssl.SSLContext:
        """Returns the context for links that peers open."""
        return self._server

    def client(self) -> ssl.SSLContext:
        """Returns the context for links to peers."""
        return self._client

    def refresh(self) -> bool:
        """Loads the files again if they changed; tells whether it did.

        Files that cannot be loaded leave the former contexts in use.
        """
        stamps = self._stamps()
        if stamps == self._seen:
            return False
        try:
            server = self._load(ssl.PROTOCOL_TLS_SERVER)
            client = self._load(ssl.PROTOCOL_TLS_CLIENT)
        except exceptions.MembershipError as exc:
            self._logger.error(f"Certificates not reloaded. {exc}")
            self._seen = stamps
            return False
        self._seen, self._server, self._client = stamps, server, client
        self._logger.notice("Certificates reloaded.")
        return True

    def _stamps(self) -> tuple:
        return tuple(map(_stamp, (self._cert, self._key, self._ca)))

    def _load(self, protocol: int) -> ssl.SSLContext:
        context = ssl.SSLContext(protocol)
        context.minimum_version = ssl.TLSVersion.TLSv1_3
        # Peers are reached by IP address; what counts is the peers' own CA.
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
                " readable PEM files that belong together",
            ) from exc
        return context


def _stamp(path: str) -> tuple:
    try:
        status = os.stat(path)
    except OSError:
        return ()
    return (status.st_mtime_ns, status.st_size, status.st_ino)


def new_contexts(cert: str, key: str, ca: str) -> Contexts:
    """Loads the files.

    Raises:
        MembershipError: A file is missing or does not fit the others.
    """
    return Contexts(cert, key, ca)
