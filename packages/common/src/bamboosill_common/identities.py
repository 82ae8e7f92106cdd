"""Token authentication interface, and an implementation without checks."""

from typing import NamedTuple
from typing import Protocol

from returns.result import Result
from returns.result import Success


class Identity(NamedTuple):
    """Role and subject of a verified token."""

    role: str
    subject: str


class Authenticator(Protocol):
    """Interface that signs and verifies tokens."""

    def sign(self, role: str, subject: str = "") -> str:
        """Returns a signed token, or "" without a signing key for the role."""

    def verify(self, token: str, role: str) -> Result[Identity, str]:
        """Returns the identity in a valid token of a role, or an error."""


class OpenAuthenticator:
    """Accepts all peers; for networks that only instances can reach."""

    def sign(self, role: str, subject: str = "") -> str:
        """Returns an empty token."""
        return ""

    def verify(self, token: str, role: str) -> Result[Identity, str]:
        """Accepts any token and returns an identity without a subject."""
        return Success(Identity(role, ""))
