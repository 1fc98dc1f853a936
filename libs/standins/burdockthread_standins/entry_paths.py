"""The paths of one entry to workers and other entries, as links that can be cut.

Entries learn addresses from the store alone. What an entry reads there names links of
its own in place of the addresses, and what it writes names the addresses again.
"""

import asyncio
import re
from contextlib import AsyncExitStack

from burdockthread_standins.forwarder import Direction, Forwarder

ADDRESS = re.compile(rb"127\.\d+\.\d+\.\d+:\d+")
# Keys whose values hold addresses that an entry calls.
ROUTED = ("servers/", "cluster/entry/", "assigned/")


class EntryPaths:
    """Links to all addresses that one entry has read from the store.

    Attributes:
        host: Address of the entry itself, to which no link is needed.
        links: Link by the address that it leads to.
        targets: Address by that of the link to it.
        held: Addresses to which nothing goes now, also if they are read later.
    """

    def __init__(self, host: str, stack: AsyncExitStack) -> None:
        self.host = host
        self.stack = stack
        self.links: dict[str, Forwarder] = {}
        self.targets: dict[str, str] = {}
        self.held: set[str] = set()
        self.adding = asyncio.Lock()

    async def shown(self, key: str, value: bytes) -> bytes:
        """Returns a value as the entry reads it."""
        if not key.startswith(ROUTED):
            return value
        async with self.adding:
            for address in {found.decode() for found in ADDRESS.findall(value)}:
                await self.add(address)
        return ADDRESS.sub(lambda match: self.link_address(match[0]), value)

    def stored(self, value: bytes) -> bytes:
        """Returns a value that the entry writes as others read it."""
        return ADDRESS.sub(lambda match: self.target(match[0]), value)

    def target(self, address: bytes) -> bytes:
        """Returns the address that a link leads to, or the address if it is no link."""
        found = self.targets.get(address.decode())
        return address if found is None else found.encode()

    def link_address(self, address: bytes) -> bytes:
        """Returns the address of the link to an address, or that address."""
        link = self.links.get(address.decode())
        return address if link is None else f"{link.host}:{link.port}".encode()

    async def add(self, address: str) -> None:
        """Opens a link to an address, unless it is the entry's own or a link."""
        host, _, port = address.rpartition(":")
        if host == self.host or address in self.links or address in self.targets:
            return
        link = Forwarder(host, int(port))
        self.links[address] = link
        await self.stack.enter_async_context(link.running())
        self.targets[f"{host}:{link.port}"] = address
        if address in self.held:
            hold(link)

    def hold(self, addresses: set[str]) -> None:
        """Lets the links to some addresses fall silent both ways."""
        self.held |= addresses
        for address in addresses & self.links.keys():
            hold(self.links[address])

    def heal(self, addresses: set[str]) -> None:
        """Ends the silence of the links to some addresses."""
        self.held -= addresses
        for address in addresses & self.links.keys():
            self.links[address].heal()


def hold(link: Forwarder) -> None:
    """Lets a link fall silent both ways."""
    for direction in Direction:
        link.hold(direction)
