"""Bearer tokens of operators, kept only as hashes."""

import hashlib
import hmac
from collections.abc import Sequence
from typing import NamedTuple

from burdockthread_model.settings import OperatorSettings

SCHEME = "Bearer "


class Operator(NamedTuple):
    """An operator who proved a token."""

    name: str
    rights: frozenset[str]


class Authenticator:
    """Finds the operator of a bearer token."""

    def __init__(self, tokens: Sequence[OperatorSettings]) -> None:
        self.tokens = tuple(tokens)

    def authenticate(self, header: str) -> Operator | None:
        """Checks an Authorization header.

        Every token is compared, each in constant time.

        Args:
            header: Value of the header; empty if it is missing.

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
