"""Authentication of operators by bearer tokens, stored only as hashes."""

import hashlib
import hmac
from collections.abc import Sequence
from typing import NamedTuple

from burdockthread_model.settings import OperatorSettings

SCHEME = "Bearer "


class Operator(NamedTuple):
    """An authenticated operator.

    Attributes:
        name: Name of the operator.
        rights: Names of the actions that the operator may do.
    """

    name: str
    rights: frozenset[str]


class Authenticator:
    """Maps bearer tokens to operators by the SHA-256 hash of the token."""

    def __init__(self, tokens: Sequence[OperatorSettings]) -> None:
        self.tokens = tuple(tokens)

    def authenticate(self, header: str) -> Operator | None:
        """Checks an Authorization header.

        The token is compared with every known token, each in constant time, so
        that the response time does not depend on which token matches.

        Args:
            header: Value of the header; empty if the header is missing.

        Returns:
            The operator, or None if no token matches.
        """
        token = header.removeprefix(SCHEME)
        digest = hashlib.sha256(token.encode()).hexdigest()
        found = None
        for known in self.tokens:
            if hmac.compare_digest(known["token_sha256"], digest):
                found = Operator(known["operator"], frozenset(known["rights"]))
        return found if header.startswith(SCHEME) else None
