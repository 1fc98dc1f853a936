"""Mesh over TCP: one outgoing stream to each other entry."""

import asyncio
import secrets
from collections.abc import AsyncIterator, Coroutine
from contextlib import asynccontextmanager
from typing import NamedTuple

from burdockthread_http.connection_guard import ConnectionGuard
from burdockthread_model.clock import Clock
from burdockthread_model.errors import (
    BurdockthreadError,
    PeerError,
    PeerProtocolError,
    PeerTimeoutError,
    PeerUnavailableError,
)
from burdockthread_model.events import EventLog
from burdockthread_model.settings import EntrySettings, PeerSettings

from burdockthread_peers.frame_reader import FrameReader, ReceivedFrame
from burdockthread_peers.frames import (
    FAILURE,
    HANDSHAKE_TIMEOUT_S,
    REPLY,
    Frame,
    Hello,
    encode_frame,
    handshake,
    new_hello,
)
from burdockthread_peers.handlers import encode_fields
from burdockthread_peers.handling_mesh import HandlingMesh
from burdockthread_peers.link import Link, Traffic, has_room
from burdockthread_peers.mesh import Member, MemberState

HEARTBEAT_S = 1.0
SUSPECT_AFTER_S = 3.0
DOWN_AFTER_S = 10.0
RECONNECT_S = 0.5
CONNECT_TIMEOUT_S = 3.0
IDLE_TIMEOUT_S = 10.0
MISSED_HEARTBEATS = 3
MAX_LINKS = 64
MAX_UNAUTHENTICATED = 16
MAX_BLOCKED_PROCESSES = 1_000


class Heartbeat(NamedTuple):
    """Sent by every entry to every other entry once a second."""

    incarnation: str
    leaving: bool


class HeartbeatReply(NamedTuple):
    """Answer to `Heartbeat`, with the same fields of the answering entry."""

    incarnation: str
    leaving: bool


class LastContact(NamedTuple):
    """Contents and clock time of the last heartbeat or answer from an entry."""

    incarnation: str
    leaving: bool
    contact_s: float


class StreamMesh(HandlingMesh):
    """Authenticated msgpack streams to all entries in the settings and added later.

    Attributes:
        links: Outgoing stream to each other entry, by name.
        last_contacts: Last heartbeat or answer of each entry, by name.
        incoming: Accepted stream of each entry, by name.
        incoming_processes: Incarnation at the other end of these streams.
        blocked_processes: Replaced processes whose streams are refused.
        unauthenticated: Accepted streams before the end of the handshake, oldest
            first.
        guard: Keeps what the process receives within its limits.
    """

    def __init__(
        self,
        settings: EntrySettings,
        clock: Clock,
        log: EventLog,
        guard: ConnectionGuard | None = None,
    ) -> None:
        super().__init__(settings["name"])
        self.settings = settings
        self.key = settings["peer_key"].encode()
        self.clock = clock
        self.log = log
        self.guard = guard or ConnectionGuard.with_defaults(log)
        self.incarnation = secrets.token_hex(8)
        self.leaving = False
        self.is_running = False
        self.port = settings["peers"]["port"]
        self.traffic = Traffic()
        self.links = {
            peer["name"]: Link(peer, clock, self.traffic)
            for peer in settings["entries"]
            if peer["name"] != self.name
        }
        self.last_contacts: dict[str, LastContact] = {}
        self.incoming: dict[str, asyncio.StreamWriter] = {}
        self.incoming_processes: dict[str, str] = {}
        self.blocked_processes: dict[tuple[str, str], None] = {}
        self.unauthenticated: dict[asyncio.StreamWriter, None] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.register(Heartbeat, HeartbeatReply, self.on_heartbeat)

    def members(self) -> tuple[Member, ...]:
        """Returns all entries with a link, and this one, sorted by name."""
        entries = [link.peer for link in self.links.values()]
        own = [peer for peer in self.settings["entries"] if peer["name"] == self.name]
        entries = sorted(entries + own, key=lambda peer: peer["name"])
        return tuple(self.member(peer) for peer in entries)

    def add_peer(self, peer: PeerSettings) -> None:
        """Opens a stream to an entry, or reconnects if its address has changed."""
        if peer["name"] == self.name:
            return
        link = self.links.get(peer["name"])
        if link is None:
            if len(self.links) >= MAX_LINKS:
                self.log.warning("too_many_peers", peer=peer["name"])
                return
            link = self.links[peer["name"]] = Link(peer, self.clock, self.traffic)
            if self.is_running:
                self.start_link(link)
        elif link.peer != peer:
            link.peer = peer
            link.close()

    def block_process(self, name: str, incarnation: str) -> None:
        """Aborts the streams of a replaced process and refuses new ones."""
        self.blocked_processes[name, incarnation] = None
        if len(self.blocked_processes) > MAX_BLOCKED_PROCESSES:
            del self.blocked_processes[next(iter(self.blocked_processes))]
        if self.incoming_processes.get(name) == incarnation and name in self.incoming:
            self.incoming[name].transport.abort()
        link = self.links.get(name)
        if link is not None and link.incarnation == incarnation:
            link.close()

    def check_allowed(self, hello: Hello) -> None:
        """Checks that a process was not replaced.

        Raises:
            PeerProtocolError: A newer process of the same name has replaced it.
        """
        if (hello.name, hello.incarnation) in self.blocked_processes:
            raise PeerProtocolError(
                f"process {hello.incarnation} of entry {hello.name} was replaced"
            )

    def member(self, peer: PeerSettings) -> Member:
        """Returns an entry with its state as this entry sees it."""
        name = peer["name"]
        sighting = self.last_contacts.get(name)
        incarnation = "" if sighting is None else sighting.incarnation
        if name == self.name:
            incarnation = self.incarnation
        return Member(
            name,
            peer["availability_zone"],
            peer["region"],
            incarnation,
            self.state(name),
        )

    def state(self, name: str) -> MemberState:
        """Returns the state of an entry by the age of its last heartbeat."""
        if name == self.name:
            return MemberState.LEAVING if self.leaving else MemberState.UP
        sighting = self.last_contacts.get(name)
        silence_s = DOWN_AFTER_S
        if sighting is not None:
            silence_s = self.clock.now() - sighting.contact_s
        if sighting is None or silence_s >= DOWN_AFTER_S:
            return MemberState.DOWN
        if sighting.leaving:
            return MemberState.LEAVING
        if silence_s >= SUSPECT_AFTER_S:
            return MemberState.SUSPECT
        return MemberState.UP

    async def exchange(
        self, peer: str, kind: str, fields: list[object], timeout_s: float
    ) -> list[object]:
        """Sends a message on the outgoing stream and waits for its answer."""
        if peer == self.name:
            return await self.handle(peer, kind, fields)
        link = self.links.get(peer)
        if link is None:
            raise PeerUnavailableError(f"unknown entry {peer}")
        return await link.call(kind, fields, timeout_s)

    def broadcast(self, message: tuple[object, ...]) -> None:
        """Sends a message to every other entry without waiting."""
        kind = type(message).__name__
        frame = encode_frame(Frame(0, kind, encode_fields(message)))
        for link in list(self.links.values()):
            link.send(frame)

    @asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Accepts and opens streams within the block; closes them at its end."""
        address = self.settings["peers"]
        server = await asyncio.start_server(
            self.serve, address["host"], address["port"]
        )
        self.port = server.sockets[0].getsockname()[1]
        self.is_running = True
        for link in list(self.links.values()):
            self.start_link(link)
        try:
            yield
        finally:
            self.is_running = False
            server.close()
            for task in list(self.tasks):
                task.cancel()
            await asyncio.gather(*self.tasks, return_exceptions=True)
            for writer in [*self.incoming.values(), *self.unauthenticated]:
                writer.close()

    def start_link(self, link: Link) -> None:
        """Starts the tasks that maintain the stream to one entry."""
        self.start(self.keep_link(link))
        self.start(self.send_heartbeats(link))

    def start(self, work: Coroutine[None, None, None]) -> None:
        """Runs a coroutine as a task of this mesh."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def keep_link(self, link: Link) -> None:
        """Maintains the stream to one entry; reconnects every `RECONNECT_S`."""
        while True:
            try:
                await self.dial(link)
            except (OSError, EOFError, PeerError, TimeoutError) as error:
                self.log.info(
                    "peer_link_down",
                    peer=link.peer["name"],
                    reason=type(error).__name__,
                )
            await self.clock.sleep(RECONNECT_S)

    async def dial(self, link: Link) -> None:
        """Opens the stream to one entry and reads answers until the stream ends."""
        peer = link.peer
        async with self.clock.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(peer["host"], peer["port"])
        try:
            hello = new_hello(self.name, self.incarnation)
            async with self.clock.timeout(HANDSHAKE_TIMEOUT_S):
                other = await handshake(reader, writer, hello, self.key, dialled=True)
            if other.name != peer["name"]:
                raise PeerProtocolError(
                    f"peer at the address of {peer['name']} has the name {other.name}"
                )
            self.check_allowed(other)
            link.incarnation = other.incarnation
            link.writer = writer
            self.log.info("peer_link_up", peer=peer["name"])
            await link.read_answers(reader)
        finally:
            link.writer = None
            link.fail_pending(PeerTimeoutError(f"stream to {peer['name']} ended"))
            writer.close()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one accepted stream until it ends.

        An error ends this stream only. Beyond `MAX_UNAUTHENTICATED` streams in the
        handshake, which takes an entry a few milliseconds, the oldest is closed.
        """
        if len(self.unauthenticated) >= MAX_UNAUTHENTICATED:
            oldest = next(iter(self.unauthenticated))
            del self.unauthenticated[oldest]
            oldest.transport.abort()
            self.guard.note("closed", "unauthenticated", "entries")
        self.unauthenticated[writer] = None
        try:
            hello = await self.authenticate(reader, writer)
            await self.serve_peer(hello, reader, writer)
        except (OSError, EOFError, TimeoutError):
            pass
        except PeerProtocolError as error:
            self.guard.note("refused", "peer_protocol", "entries", error=error)
        finally:
            self.unauthenticated.pop(writer, None)
            writer.close()

    async def authenticate(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> Hello:
        """Authenticates the entry at the other side and returns its greeting.

        Raises:
            PeerProtocolError: The other side does not know the key, has the name
                of this entry or was replaced, or there are too many peers.
        """
        hello = new_hello(self.name, self.incarnation)
        async with self.clock.timeout(HANDSHAKE_TIMEOUT_S):
            other = await handshake(reader, writer, hello, self.key, dialled=False)
        if other.name == self.name:
            raise PeerProtocolError(f"peer has the name of this entry, {self.name}")
        self.check_allowed(other)
        if other.name not in self.incoming and len(self.incoming) >= MAX_LINKS:
            raise PeerProtocolError(f"already {MAX_LINKS} peers, refused {other.name}")
        return other

    async def serve_peer(
        self, hello: Hello, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Handles the messages of a stream until it ends or is idle for too long.

        The stream replaces an older one of an entry of the same name.
        """
        name = hello.name
        older = self.incoming.pop(name, None)
        if older is not None:
            older.transport.abort()
        self.incoming[name] = writer
        self.incoming_processes[name] = hello.incarnation
        self.unauthenticated.pop(writer, None)
        frames = FrameReader(reader, self.guard)
        try:
            while has_room(writer):
                async with self.clock.timeout(IDLE_TIMEOUT_S):
                    received = await frames.read()
                await frames.handlers.acquire()
                self.start(self.answer(name, received, writer, frames))
        finally:
            if self.incoming.get(name) is writer:
                del self.incoming[name]
                del self.incoming_processes[name]

    async def answer(
        self,
        sender: str,
        received: ReceivedFrame,
        writer: asyncio.StreamWriter,
        frames: FrameReader,
    ) -> None:
        """Handles one message and writes the answer if one is expected."""
        frame = received.frame
        try:
            data = encode_frame(await self.result(sender, frame))
        finally:
            frames.finish(received.size)
        if frame.call_id and not writer.is_closing():
            self.traffic.write(writer, data)

    async def result(self, sender: str, frame: Frame) -> Frame:
        """Returns the answer to a message; a failure if it is refused."""
        try:
            fields = await self.handle(sender, frame.kind, frame.fields)
        except BurdockthreadError as error:
            self.log.warning("peer_message_refused", peer=sender, reason=error)
            return Frame(frame.call_id, FAILURE, [str(error)])
        return Frame(frame.call_id, REPLY, fields)

    async def send_heartbeats(self, link: Link) -> None:
        """Sends heartbeats to one entry and records its answers.

        Closes the link after `MISSED_HEARTBEATS` consecutive timeouts.
        """
        name = link.peer["name"]
        missed = 0
        while True:
            try:
                heartbeat = Heartbeat(self.incarnation, self.leaving)
                reply = await self.call(name, heartbeat, HeartbeatReply, HEARTBEAT_S)
                self.record_contact(name, reply.incarnation, reply.leaving)
                missed = 0
            except PeerTimeoutError:
                missed += 1
            except PeerError:
                missed = 0
            if missed >= MISSED_HEARTBEATS:
                self.log.info("peer_link_silent", peer=name)
                link.close()
                missed = 0
            await self.clock.sleep(HEARTBEAT_S)

    async def on_heartbeat(self, sender: str, message: Heartbeat) -> HeartbeatReply:
        """Records a heartbeat and answers it."""
        self.record_contact(sender, message.incarnation, message.leaving)
        return HeartbeatReply(self.incarnation, self.leaving)

    def record_contact(self, name: str, incarnation: str, leaving: bool) -> None:
        """Records a heartbeat, or an answer to one, at the present time."""
        self.last_contacts[name] = LastContact(incarnation, leaving, self.clock.now())

    def announce_leaving(self) -> None:
        """Sends a heartbeat to all other entries that says this one is leaving."""
        self.leaving = True
        self.broadcast(Heartbeat(self.incarnation, True))
