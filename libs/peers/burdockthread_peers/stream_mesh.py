"""The mesh over TCP streams: one dialled stream to each other entry."""

import asyncio
import itertools
import secrets
from collections.abc import AsyncIterator, Coroutine
from contextlib import asynccontextmanager
from typing import NamedTuple

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

from burdockthread_peers.frames import (
    FAILURE,
    REPLY,
    Frame,
    encode_frame,
    handshake,
    new_hello,
    read_frame,
)
from burdockthread_peers.handlers import HandlerTable, decode_fields, encode_fields
from burdockthread_peers.mesh import (
    Handler,
    Member,
    MemberState,
    Message,
    PeerMesh,
    Reply,
)

HEARTBEAT_S = 1.0
SUSPECT_AFTER_S = 3.0
DOWN_AFTER_S = 10.0
RECONNECT_S = 0.5
MAX_INCOMING_STREAMS = 64


class Heartbeat(NamedTuple):
    """Sent by every entry to every other once a second."""

    incarnation: str
    leaving: bool


class HeartbeatReply(NamedTuple):
    """Answer to a heartbeat."""

    incarnation: str
    leaving: bool


class Sighting(NamedTuple):
    """The last word heard from an entry."""

    incarnation: str
    leaving: bool
    heard_s: float


class Link:
    """The dialled stream to one entry.

    Attributes:
        peer: Settings of the entry.
        writer: Outgoing side, or None while there is no stream.
        pending: Calls that wait for an answer.
    """

    def __init__(self, peer: PeerSettings) -> None:
        self.peer = peer
        self.writer: asyncio.StreamWriter | None = None
        self.pending: dict[int, asyncio.Future[list[object]]] = {}
        self.call_ids = itertools.count(1)

    def fail_pending(self, error: PeerError) -> None:
        """Ends all waiting calls."""
        for future in self.pending.values():
            if not future.done():
                future.set_exception(error)
        self.pending.clear()


class StreamMesh(PeerMesh):
    """Authenticated msgpack streams to all entries of the settings."""

    def __init__(self, settings: EntrySettings, clock: Clock, log: EventLog) -> None:
        self.name = settings["name"]
        self.settings = settings
        self.key = settings["peer_key"].encode()
        self.clock = clock
        self.log = log
        self.incarnation = secrets.token_hex(8)
        self.leaving = False
        self.is_running = False
        self.port = settings["peers"]["port"]
        self.table = HandlerTable()
        self.links = {
            peer["name"]: Link(peer)
            for peer in settings["entries"]
            if peer["name"] != self.name
        }
        self.sightings: dict[str, Sighting] = {}
        self.incoming: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.register(Heartbeat, HeartbeatReply, self.on_heartbeat)

    def members(self) -> tuple[Member, ...]:
        """Returns all entries that are dialled and this one, sorted by name."""
        entries = [link.peer for link in self.links.values()]
        own = [peer for peer in self.settings["entries"] if peer["name"] == self.name]
        entries = sorted(entries + own, key=lambda peer: peer["name"])
        return tuple(self.member(peer) for peer in entries)

    def learn(self, peer: PeerSettings) -> None:
        """Dials an entry, at its new address if it has changed."""
        if peer["name"] == self.name:
            return
        link = self.links.get(peer["name"])
        if link is None:
            link = self.links[peer["name"]] = Link(peer)
            if self.is_running:
                self.start_link(link)
        elif link.peer != peer:
            link.peer = peer
            if link.writer is not None:
                link.writer.close()

    def member(self, peer: PeerSettings) -> Member:
        """Returns one entry with the state that this entry sees."""
        name = peer["name"]
        sighting = self.sightings.get(name)
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
        """Returns the state of an entry from its last heartbeat."""
        if name == self.name:
            return MemberState.LEAVING if self.leaving else MemberState.UP
        sighting = self.sightings.get(name)
        silence_s = DOWN_AFTER_S
        if sighting is not None:
            silence_s = self.clock.now() - sighting.heard_s
        if sighting is None or silence_s >= DOWN_AFTER_S:
            return MemberState.DOWN
        if sighting.leaving:
            return MemberState.LEAVING
        if silence_s >= SUSPECT_AFTER_S:
            return MemberState.SUSPECT
        return MemberState.UP

    def register(
        self,
        message: type[Message],
        reply: type[Reply],
        handler: Handler[Message, Reply],
    ) -> None:
        """Sets the handler of a kind of message."""
        self.table.register(message, reply, handler)

    async def call(
        self,
        peer: str,
        message: tuple[object, ...],
        reply: type[Reply],
        timeout_s: float,
    ) -> Reply:
        """Sends a message and waits for its answer."""
        kind = type(message).__name__
        if peer == self.name:
            answer = await self.table.handle(peer, kind, encode_fields(message))
            return decode_fields(encode_fields(answer), reply)
        link = self.links.get(peer)
        if link is None or link.writer is None:
            raise PeerUnavailableError(f"no stream to {peer}")
        call_id = next(link.call_ids)
        future: asyncio.Future[list[object]]
        future = asyncio.get_running_loop().create_future()
        link.pending[call_id] = future
        link.writer.write(encode_frame(Frame(call_id, kind, encode_fields(message))))
        try:
            async with self.clock.timeout(timeout_s):
                return decode_fields(await future, reply)
        except TimeoutError as error:
            raise PeerTimeoutError(f"no answer from {peer} to {kind}") from error
        finally:
            link.pending.pop(call_id, None)

    def broadcast(self, message: tuple[object, ...]) -> None:
        """Sends a message to every other entry without waiting."""
        kind = type(message).__name__
        frame = encode_frame(Frame(0, kind, encode_fields(message)))
        for link in list(self.links.values()):
            if link.writer is not None:
                link.writer.write(frame)

    @asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Listens and dials within the block."""
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
            for writer in list(self.incoming):
                writer.close()

    def start_link(self, link: Link) -> None:
        """Keeps a stream to one entry from now on."""
        self.start(self.keep_link(link))
        self.start(self.send_heartbeats(link))

    def start(self, work: Coroutine[None, None, None]) -> None:
        """Runs a coroutine as a task of this mesh."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def keep_link(self, link: Link) -> None:
        """Keeps the stream to one entry open."""
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
        """Opens the stream to one entry and reads answers until it ends."""
        peer = link.peer
        reader, writer = await asyncio.open_connection(peer["host"], peer["port"])
        try:
            hello = new_hello(self.name, self.incarnation)
            other = await handshake(reader, writer, hello, self.key, dialled=True)
            if other.name != peer["name"]:
                raise PeerProtocolError(f"{peer['name']} calls itself {other.name}")
            link.writer = writer
            self.log.info("peer_link_up", peer=peer["name"])
            await self.read_answers(link, reader)
        finally:
            link.writer = None
            link.fail_pending(PeerTimeoutError(f"the stream to {peer['name']} broke"))
            writer.close()

    async def read_answers(self, link: Link, reader: asyncio.StreamReader) -> None:
        """Hands each answer to the call that waits for it."""
        while True:
            frame = await read_frame(reader)
            future = link.pending.pop(frame.call_id, None)
            if future is None or future.done():
                continue
            if frame.kind == REPLY:
                future.set_result(frame.fields)
            else:
                future.set_exception(PeerProtocolError(str(frame.fields)))

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one accepted stream until it ends."""
        if len(self.incoming) >= MAX_INCOMING_STREAMS:
            writer.close()
            return
        self.incoming.add(writer)
        try:
            hello = new_hello(self.name, self.incarnation)
            other = await handshake(reader, writer, hello, self.key, dialled=False)
            while True:
                frame = await read_frame(reader)
                self.start(self.answer(other.name, frame, writer))
        except (OSError, EOFError, TimeoutError):
            pass
        except PeerProtocolError as error:
            self.log.warning("peer_stream_refused", reason=error)
        finally:
            self.incoming.discard(writer)
            writer.close()

    async def answer(
        self, sender: str, frame: Frame, writer: asyncio.StreamWriter
    ) -> None:
        """Handles one message and writes the answer."""
        try:
            reply = await self.table.handle(sender, frame.kind, frame.fields)
            result = Frame(frame.call_id, REPLY, encode_fields(reply))
        except BurdockthreadError as error:
            self.log.warning("peer_message_refused", peer=sender, reason=error)
            result = Frame(frame.call_id, FAILURE, [str(error)])
        if frame.call_id and not writer.is_closing():
            writer.write(encode_frame(result))

    async def send_heartbeats(self, link: Link) -> None:
        """Sends heartbeats to one entry and notes its answers."""
        name = link.peer["name"]
        while True:
            try:
                heartbeat = Heartbeat(self.incarnation, self.leaving)
                reply = await self.call(name, heartbeat, HeartbeatReply, HEARTBEAT_S)
                self.note(name, reply.incarnation, reply.leaving)
            except PeerError:
                pass
            await self.clock.sleep(HEARTBEAT_S)

    async def on_heartbeat(self, sender: str, message: Heartbeat) -> HeartbeatReply:
        """Notes a heartbeat and answers it."""
        self.note(sender, message.incarnation, message.leaving)
        return HeartbeatReply(self.incarnation, self.leaving)

    def note(self, name: str, incarnation: str, leaving: bool) -> None:
        """Records a word from an entry."""
        self.sightings[name] = Sighting(incarnation, leaving, self.clock.now())

    def announce_leaving(self) -> None:
        """Tells all other entries that this one is leaving."""
        self.leaving = True
        self.broadcast(Heartbeat(self.incarnation, True))
