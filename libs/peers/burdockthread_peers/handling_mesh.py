"""Base class of meshes: calls and handlers, independent of the transport."""

from abc import abstractmethod

from burdockthread_peers.handlers import HandlerTable, decode_fields, encode_fields
from burdockthread_peers.mesh import Handler, Message, PeerMesh, Reply


class HandlingMesh(PeerMesh):
    """A mesh with a table of handlers; subclasses implement the transport.

    Attributes:
        table: Handlers by kind of message.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.table = HandlerTable()

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
        """Sends a message and returns its decoded answer."""
        kind, fields = type(message).__name__, encode_fields(message)
        answer = await self.exchange(peer, kind, fields, timeout_s)
        return decode_fields(answer, reply)

    async def handle(
        self, sender: str, kind: str, fields: list[object]
    ) -> list[object]:
        """Returns the fields of the answer to a message.

        Raises:
            PeerProtocolError: The kind is unknown or a field has the wrong type.
        """
        return encode_fields(await self.table.handle(sender, kind, fields))

    @abstractmethod
    async def exchange(
        self, peer: str, kind: str, fields: list[object], timeout_s: float
    ) -> list[object]:
        """Sends the fields of a message and returns the fields of its answer.

        Args:
            peer: Name of the entry; this entry's own name calls the handler.
            kind: Name of the message class.
            fields: Fields of the message.
            timeout_s: Seconds to wait.

        Raises:
            PeerUnavailableError: The message was not sent.
            PeerTimeoutError: The message was sent but not answered in time.
            PeerProtocolError: The other entry refused the message.
        """
