"""IP addresses with ports."""

import ipaddress
from typing import NamedTuple

MAX_PORT = 65_535


class Address(NamedTuple):
    """An IP address with a TCP port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Returns host and port with a colon between them."""
        return f"{self.host}:{self.port}"

    @classmethod
    def from_text(cls, text: str) -> "Address":
        """Parses an IP address, in brackets if it has colons, and a port.

        Raises:
            ValueError: The host is a name, or the port is out of range.
        """
        host, _, port = text.rpartition(":")
        has_brackets = host.startswith("[") and host.endswith("]")
        found = ipaddress.ip_address(host[1:-1] if has_brackets else host)
        if has_brackets != (found.version == 6) or "%" in host:
            raise ValueError(f"{host} cannot be the host of a URL")
        if not port.isascii() or not port.isdecimal():
            raise ValueError("expected IP and port")
        if len(port) > len(str(MAX_PORT)) or not 0 < int(port) <= MAX_PORT:
            raise ValueError(f"port not between 1 and {MAX_PORT}")
        return cls(host, int(port))
