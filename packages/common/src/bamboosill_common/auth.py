"""JSON Web Tokens for instances, upstreams, operators and callers.

The signing keys come from a JSON file {"keys": [{"id", "secret", "roles"}]}.
The first key with a role signs the tokens of that role; every key with the
role verifies them, so that keys can be rotated. The file is reloaded when it
changes, without a restart.
"""

import json
import pathlib
from typing import NamedTuple

import jwt
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from bamboosill_common import clock as clock_lib
from bamboosill_common import identities
from bamboosill_common import logs

_ALGORITHM = "HS256"
TOKEN_LIFETIME_S = 3600
# Tolerated clock skew between issuer and verifier.
_CLOCK_SKEW_TOLERANCE_S = 30
_RELOAD_INTERVAL_S = 1.0
_MIN_SECRET_BYTES = 32

_log = logs.get_logger("auth")

Identity = identities.Identity


class Key(NamedTuple):
    """One signing key and the roles whose tokens it signs and verifies."""

    id: str
    secret: str
    roles: tuple[str, ...]


def load_keys(path: pathlib.Path) -> Result[tuple[Key, ...], str]:
    """Returns the keys in a key file, or an error message."""
    try:
        document = json.loads(path.read_text())
        keys = tuple(
            Key(str(each["id"]), str(each["secret"]), tuple(each["roles"]))
            for each in document["keys"]
        )
    except (OSError, ValueError, KeyError, TypeError) as error:
        return Failure(f"{path.name}: cannot be read as a key file: {error}")
    for key in keys:
        if len(key.secret.encode()) < _MIN_SECRET_BYTES:
            return Failure(
                f"{path.name}: key {key.id!r} is shorter than "
                f"{_MIN_SECRET_BYTES} bytes"
            )
    return Success(keys) if keys else Failure(f"{path.name}: has no keys")


class Authenticator:
    """Signs and verifies tokens; without a key file, verification is off."""

    def __init__(
        self, key_file: str, clock: clock_lib.Clock, subject: str = ""
    ) -> None:
        self._path = pathlib.Path(key_file) if key_file else None
        self._clock = clock
        self._subject = subject
        self._keys: tuple[Key, ...] = ()
        self._loaded_mtime_ns = 0
        self._last_check_s = float("-inf")

    @property
    def enabled(self) -> bool:
        """Whether tokens are required."""
        return self._path is not None

    def sign(self, role: str, subject: str = "") -> str:
        """Returns a signed token, or "" without a signing key for the role."""
        self._reload_if_changed()
        for key in self._keys:
            if role in key.roles:
                claims = {
                    "sub": subject or self._subject,
                    "role": role,
                    "exp": self._clock.wall_ms() // 1000 + TOKEN_LIFETIME_S,
                }
                return jwt.encode(
                    claims, key.secret, _ALGORITHM, headers={"kid": key.id}
                )
        return ""

    def verify(self, token: str, role: str) -> Result[Identity, str]:
        """Returns the identity in a valid token of a role, or an error."""
        if not self.enabled:
            return Success(Identity(role, ""))
        self._reload_if_changed()
        try:
            key_id = jwt.get_unverified_header(token).get("kid")
            key = next(
                candidate
                for candidate in self._keys
                if candidate.id == key_id and role in candidate.roles
            )
            claims = jwt.decode(
                token,
                key.secret,
                [_ALGORITHM],
                options={"verify_exp": False, "require": ["exp", "sub"]},
            )
        except StopIteration:
            return Failure("the token's key is unknown or not for this role")
        except jwt.InvalidTokenError as error:
            return Failure(f"the token is invalid: {error}")
        now_s = self._clock.wall_ms() // 1000
        if claims["exp"] + _CLOCK_SKEW_TOLERANCE_S < now_s:
            return Failure("the token has expired")
        if claims.get("role") != role:
            return Failure("the token is for another role")
        return Success(Identity(role, claims["sub"]))

    def _reload_if_changed(self) -> None:
        if self._path is None:
            return
        now_s = self._clock.monotonic()
        if now_s - self._last_check_s < _RELOAD_INTERVAL_S:
            return
        self._last_check_s = now_s
        try:
            mtime_ns = self._path.stat().st_mtime_ns
        except OSError:
            return
        if mtime_ns == self._loaded_mtime_ns:
            return
        match load_keys(self._path):
            case Success(keys):
                self._keys, self._loaded_mtime_ns = keys, mtime_ns
            case Failure(detail):
                # The previously loaded keys stay in use.
                _log.error("Key file not loaded. %s", detail)
