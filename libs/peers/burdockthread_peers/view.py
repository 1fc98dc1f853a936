"""The member list that all entries agree on, stored as one record."""

from collections.abc import Collection, Iterable
from functools import lru_cache
from typing import NamedTuple

import msgspec
from burdockthread_model.errors import PeerProtocolError
from burdockthread_model.settings import PeerSettings

from burdockthread_peers.rendezvous import rank

HOLDERS_PER_KEY = 2
KEY_RETENTION_S = 900.0
CLOCK_SKEW_S = 2.0
MAX_HISTORY = 64
VIEW_VALIDITY_S = 6.0
OUTAGE_VALIDITY_S = 3_600.0
SILENT_STOP_S = 8.0
PARTITION_STOP_S = 600.0


class Identity(NamedTuple):
    """One process; a restart under the same name has another incarnation."""

    name: str
    incarnation: str


class ViewMember(NamedTuple):
    """An entry as registered in the store.

    Attributes:
        name: Unique name.
        incarnation: Differs after every start of the process.
        host: Address on which the entry accepts streams of other entries.
        port: Port for these streams.
        availability_zone: Availability zone of the entry.
        region: Region of the entry.
    """

    name: str
    incarnation: str
    host: str
    port: int
    availability_zone: str
    region: str

    @property
    def identity(self) -> Identity:
        """Returns name and incarnation, which identify the process."""
        return Identity(self.name, self.incarnation)

    @property
    def named_address(self) -> tuple[str, str, int]:
        """Returns name, host and port, which only one process has at a time."""
        return (self.name, self.host, self.port)

    def peer_settings(self) -> PeerSettings:
        """Returns the settings with which other entries connect to this one."""
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
        version: Version of the list.
        members: Members of the list.
        stopped_s: Wall-clock time by which all its members have stopped
            deciding by it.
    """

    version: int
    members: tuple[Identity, ...]
    stopped_s: float


class SilentMember(NamedTuple):
    """A member that was removed without having announced its end; it may still run.

    Attributes:
        member: The removed member.
        stopped_s: Wall-clock time by which the member has certainly stopped
            using its share of the slots.
    """

    member: ViewMember
    stopped_s: float


class MembersView(NamedTuple):
    """The agreed member list; a higher version replaces a lower one.

    Attributes:
        version: Version; 0 if there is no list yet.
        members: Members, sorted by name.
        history: Recently replaced lists, oldest first.
        forgotten_s: Wall-clock time by which the members of all lists older
            than `history` have stopped deciding by them.
        silent: Members recently removed without having announced their end.
    """

    version: int = 0
    members: tuple[ViewMember, ...] = ()
    history: tuple[EndedView, ...] = ()
    forgotten_s: float = 0.0
    silent: tuple[SilentMember, ...] = ()

    @classmethod
    def from_bytes(cls, data: bytes) -> "MembersView":
        """Decodes the record of the store.

        Raises:
            PeerProtocolError: The record is malformed.
        """
        try:
            return msgspec.json.decode(data, type=cls)
        except msgspec.MsgspecError as error:
            raise PeerProtocolError(f"member list is malformed: {error}") from error

    def to_bytes(self) -> bytes:
        """Returns the record for the store.

        The last field is omitted if there are no silent members, so that
        versions without this field can decode the record.
        """
        return msgspec.json.encode(self if self.silent else tuple(self[:-1]))

    def identities(self) -> tuple[Identity, ...]:
        """Returns the identities of the members, in the order of their names."""
        return tuple(member.identity for member in self.members)

    def names(self) -> tuple[str, ...]:
        """Returns the names of the members, sorted."""
        return tuple(member.name for member in self.members)

    def holders(self, key: str) -> tuple[Identity, ...]:
        """Returns the owner and the replica of a key; fewer with fewer members."""
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
            wall_s: Present wall-clock time.
            stopped_s: Wall-clock time by which the members of this list have
                stopped deciding by it.
            left: Members that have announced their end.
        """
        members = tuple(sorted(members))
        ended = EndedView(self.version, self.identities(), stopped_s)
        history = (*self.history, ended) if self.members else self.history
        keep_from_s = wall_s - KEY_RETENTION_S
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
        """Returns the silent members to record with the next list.

        A member partitioned from all others stops within `SILENT_STOP_S`.
        Several may still receive each other's reports and then go on for up to
        `PARTITION_STOP_S`. A process has ended if another process of its name
        uses its address.
        """
        added = [
            SilentMember(member, wall_s + SILENT_STOP_S)
            for member in self.members
            if member not in members and member.identity not in left
        ]
        seats = {member.named_address for member in members}
        known = [
            item
            for item in (*self.silent, *added)
            if item.stopped_s + PARTITION_STOP_S > wall_s
            and item.member.named_address not in seats
        ]
        running = [i for i in known if i.stopped_s + CLOCK_SKEW_S > wall_s]
        if not added or len(running) < 2:
            return tuple(known[-MAX_HISTORY:])
        until_s = wall_s + PARTITION_STOP_S
        return tuple(
            item._replace(stopped_s=until_s) if item in running else item
            for item in known[-MAX_HISTORY:]
        )

    def predecessors(self, me: ViewMember) -> tuple[SilentMember, ...]:
        """Returns the silent members of the same name that may still run."""
        named = (item for item in self.silent if item.member.name == me.name)
        return tuple(item for item in named if item.member != me)

    def records_lost_until_s(self, key: str, last_stopped_s: float) -> float:
        """Returns the time up to which records of uses of a key may be lost.

        The holders of a key hand its records over when the list is replaced.
        The records are lost if no holder is a member of the next list.

        Args:
            key: Rendezvous key of the records.
            last_stopped_s: Wall-clock time by which the members of the previous
                list have stopped deciding, as seen by the caller.

        Returns:
            Wall-clock time; records of later uses are not lost.
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
    """Returns the owner and the replica of a key, chosen by rendezvous hashing."""
    by_name = {member.name: member for member in members}
    ranked = rank(key, by_name)[:HOLDERS_PER_KEY]
    return tuple(by_name[name] for name in ranked)
