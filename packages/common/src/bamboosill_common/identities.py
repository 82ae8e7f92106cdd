"""Who speaks on a connection, and a check that accepts everyone."""

from typing import NamedTuple
from typing import Protocol

from returns.result import Result
from returns.result import Success


class Identity(NamedTuple):
    """Who a verified token speaks for."""

    role: str
    subject: str


class Authenticator(Protocol):
    """Signs and verifies tokens of instances."""

    def sign(self, role: str, subject: str = "") -> str:
        """Returns a token for a role, or an empty string without keys."""

    def verify(self, token: str, role: str) -> Result[Identity, str]:
        """Returns the identity in a token that is valid for the role."""


class OpenAuthenticator:
    """Accepts everyone, for a network that only instances can reach."""

    def sign(self, role: str, subject: str = "") -> str:
        """Returns no token."""
        return ""

    def verify(self, token: str, role: str) -> Result[Identity, str]:
        """Returns an identity without a name."""
        return Success(Identity(role, ""))
