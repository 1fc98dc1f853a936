"""The member list that all entries agree on, kept as one record in the store."""

from collections.abc import Collection, Iterable
from functools import lru_cache
from typing import NamedTuple

import msgspec
from burdockthread_model.errors import PeerProtocolError
from burdockthread_model.settings import PeerSettings

from burdockthread_peers.rendezvous import rank

HOLDERS_PER_KEY = 2
REMEMBERED_S = 900.0
CLOCK_SKEW_S = 2.0
MAX_HISTORY = 64
TENURE_S = 6.0
OUTAGE_TENURE_S = 3_600.0
SILENT_S = 8.0
PARTITION_S = 600.0


class Identity(NamedTuple):
    """One process: a restart under the same name is another one."""

    name: str
    incarnation: str


class ViewMember(NamedTuple):
    """An entry as it registers itself.

    Attributes:
        name: Unique name.
        incarnation: Differs after every start of the process.
        host: Address of its peers' port.
        port: Its peers' port.
        availability_zone: Its availability zone.
        region: Its region.
    """

    name: str
    incarnation: str
    host: str
    port: int
    availability_zone: str
    region: str

    @property
    def identity(self) -> Identity:
        """Returns which process this is."""
        return Identity(self.name, self.incarnation)

    @property
    def seat(self) -> tuple[str, str, int]:
        """Returns name and address, which only one process has at a time."""
        return (self.name, self.host, self.port)

    def peer_settings(self) -> PeerSettings:
        """Returns where the entry is reached."""
        return PeerSettings(
            name=self.name,
            host=self.host,
            port=self.port,
            availability_zone=self.availability_zone,
            region=self.region,
        )


class EndedView(NamedTuple):
    """A member list that a newer one has replaced.

    Attributes:
        version: Its version.
        members: Its members.
        stopped_s: Wall-clock time by which its members have surely stopped
            to decide by it.
    """

    version: int
    members: tuple[Identity, ...]
    stopped_s: float


class SilentMember(NamedTuple):
    """A member taken out without its word, which may still run somewhere.

    Attributes:
        member: The member.
        stopped_s: Wall-clock time by which it has surely stopped using its
            share of the slots.
    """

    member: ViewMember
    stopped_s: float


class MembersView(NamedTuple):
    """The agreed member list; a higher version replaces a lower one.

    Attributes:
        version: Version; 0 stands for no list at all.
        members: Members, sorted by name.
        history: The lists replaced lately, oldest first.
        forgotten_s: Wall-clock time by which the members of all lists older
            than `history` have surely stopped to decide by them.
        silent: Members taken out lately without their word.
    """

    version: int = 0
    members: tuple[ViewMember, ...] = ()
    history: tuple[EndedView, ...] = ()
    forgotten_s: float = 0.0
    silent: tuple[SilentMember, ...] = ()

    @classmethod
    def from_bytes(cls, data: bytes) -> "MembersView":
        """Reads the record of the store.

        Raises:
            PeerProtocolError: The text is malformed.
        """
        try:
            return msgspec.json.decode(data, type=cls)
        except msgspec.MsgspecError as error:
            raise PeerProtocolError(f"member list is malformed: {error}") from error

    def to_bytes(self) -> bytes:
        """Returns the record for the store.

        Without silent members, programs that do not know of them can read it.
        """
        return msgspec.json.encode(self if self.silent else tuple(self[:-1]))

    def identities(self) -> tuple[Identity, ...]:
        """Returns which processes are members."""
        return tuple(member.identity for member in self.members)

    def names(self) -> tuple[str, ...]:
        """Returns the names of the members."""
        return tuple(member.name for member in self.members)

    def holders(self, key: str) -> tuple[Identity, ...]:
        """Returns the owner and the replica of a key, as far as there are any."""
        return holders_of(self.identities(), key)

    def successor(
        self,
        members: Iterable[ViewMember],
        wall_s: float,
        stopped_s: float,
        left: Collection[Identity] = (),
    ) -> "MembersView":
        """Returns the list that replaces this one.

        Args:
            members: Members of the new list.
            wall_s: Wall-clock time now.
            stopped_s: Wall-clock time by which the members of this list have
                surely stopped to decide by it.
            left: Members that have said that they end.
        """
        members = tuple(sorted(members))
        ended = EndedView(self.version, self.identities(), stopped_s)
        history = (*self.history, ended) if self.members else self.history
        keep_from_s = wall_s - REMEMBERED_S
        recent = tuple(item for item in history if item.stopped_s > keep_from_s)
        kept = recent[-MAX_HISTORY:]
        dropped = [item.stopped_s for item in history if item not in kept]
        return MembersView(
            self.version + 1,
            members,
            kept,
            max([self.forgotten_s, *dropped]),
            self.silent_after(members, wall_s, left),
        )

    def silent_after(
        self,
        members: tuple[ViewMember, ...],
        wall_s: float,
        left: Collection[Identity],
    ) -> tuple[SilentMember, ...]:
        """Returns the silent members beside the next list.

        One that is cut off alone stops within `SILENT_S`. Several may hear each
        other, and then go on for up to `PARTITION_S`. A process whose address
        another of its name has taken has ended.
        """
        added = [
            SilentMember(member, wall_s + SILENT_S)
            for member in self.members
            if member not in members and member.identity not in left
        ]
        seats = {member.seat for member in members}
        known = [
            item
            for item in (*self.silent, *added)
            if item.stopped_s + PARTITION_S > wall_s and item.member.seat not in seats
        ]
        running = [i for i in known if i.stopped_s + CLOCK_SKEW_S > wall_s]
        if not added or len(running) < 2:
            return tuple(known[-MAX_HISTORY:])
        until_s = wall_s + PARTITION_S
        return tuple(
            item._replace(stopped_s=until_s) if item in running else item
            for item in known[-MAX_HISTORY:]
        )

    def predecessors(self, me: ViewMember) -> tuple[SilentMember, ...]:
        """Returns the other processes of a member's name that may still run."""
        named = (item for item in self.silent if item.member.name == me.name)
        return tuple(item for item in named if item.member != me)

    def records_lost_until_s(self, key: str, last_stopped_s: float) -> float:
        """Returns up to when a key may have run with its records lost since.

        The holders of a key hand its records on when the list is replaced. They
        are lost where no holder is a member of the next list.

        Args:
            key: Key to look up.
            last_stopped_s: Wall-clock time by which the members of the list
                before this one have surely stopped, as seen by the caller.

        Returns:
            Wall-clock time; records of uses after it are not lost.
        """
        lost_until_s = self.forgotten_s
        lists = [*(ended.members for ended in self.history), self.identities()]
        for ended, successors in zip(self.history, lists[1:], strict=True):
            if not set(successors).isdisjoint(holders_of(ended.members, key)):
                continue
            lost_until_s = max(lost_until_s, ended.stopped_s)
            if ended is self.history[-1]:
                lost_until_s = max(lost_until_s, last_stopped_s)
        return lost_until_s


@lru_cache(maxsize=4096)
def holders_of(members: tuple[Identity, ...], key: str) -> tuple[Identity, ...]:
    """Returns the owner and the replica of a key among members."""
    by_name = {member.name: member for member in members}
    ranked = rank(key, by_name)[:HOLDERS_PER_KEY]
    return tuple(by_name[name] for name in ranked)
