"""Authenticates requests by their API key."""

import hashlib
import hmac
from typing import Any

from savoryspar import sheet
from savoryspar.http import problems


def authenticate(
    environ: dict[str, Any], current: sheet.Sheet
) -> sheet.Workspace:
    """Returns the workspace that the API key belongs to.

    The key is hashed before the look-up, so that the time of the look-up
    reveals nothing about the stored digests. The digests are then compared in
    constant time.

    Raises:
        RunError: The key is missing or unknown.
    """
    scheme, _, key = environ.get("HTTP_AUTHORIZATION", "").partition(" ")
    digest = hashlib.sha256(key.strip().encode("latin-1")).hexdigest()
    name = current.workspace_by_key.get(digest)
    if scheme.lower() == "bearer" and name is not None:
        workspace = current.workspaces[name]
        if any(hmac.compare_digest(digest, d) for d in workspace.key_digests):
            return workspace
    raise problems.new_problem(
        "unauthorized",
        401,
        "the API key is missing or unknown",
        "send 'Authorization: Bearer KEY' with a key of your workspace",
    )
