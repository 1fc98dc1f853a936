"""Interface for messages between entries: peers, calls and broadcasts."""

from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable
from contextlib import AbstractAsyncContextManager
from enum import StrEnum
from typing import NamedTuple, TypeVar

from burdockthread_model.settings import PeerSettings


class MemberState(StrEnum):
    """State of an entry as another entry sees it."""

    UP = "up"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DOWN = "down"


class Member(NamedTuple):
    """An entry.

    Attributes:
        name: Unique name.
        availability_zone: Availability zone of the entry.
        region: Region of the entry.
        incarnation: Differs after every start of the process; empty if unknown.
        state: State of the entry as this entry sees it.
    """

    name: str
    availability_zone: str
    region: str
    incarnation: str
    state: MemberState


Message = TypeVar("Message", bound=tuple[object, ...])
Reply = TypeVar("Reply", bound=tuple[object, ...])
Handler = Callable[[str, Message], Awaitable[Reply]]


class PeerMesh(ABC):
    """Sends messages to all other entries and handles theirs.

    Messages are NamedTuple classes. The name of the class is the kind of the
    message on the wire, and the receiver validates the fields by the class.

    Attributes:
        name: Name of this entry.
    """

    name: str

    @abstractmethod
    def members(self) -> tuple[Member, ...]:
        """Returns all known entries, including this one, sorted by name."""

    @abstractmethod
    def register(
        self,
        message: type[Message],
        reply: type[Reply],
        handler: Handler[Message, Reply],
    ) -> None:
        """Sets the handler of a kind of message.

        Args:
            message: NamedTuple class of the message.
            reply: NamedTuple class of the answer.
            handler: Called with the sender's name and the message.
        """

    @abstractmethod
    async def call(
        self,
        peer: str,
        message: tuple[object, ...],
        reply: type[Reply],
        timeout_s: float,
    ) -> Reply:
        """Sends a message and waits for its answer.

        Args:
            peer: Name of the entry; this entry's own name calls the handler.
            message: NamedTuple to send.
            reply: Class of the answer.
            timeout_s: Seconds to wait.

        Returns:
            The answer.

        Raises:
            PeerUnavailableError: The message was not sent.
            PeerTimeoutError: The message was sent but not answered in time.
            PeerProtocolError: The answer is malformed.
        """

    @abstractmethod
    def broadcast(self, message: tuple[object, ...]) -> None:
        """Sends a message to every other entry without waiting.

        Delivery is neither guaranteed nor reported.
        """

    @abstractmethod
    def announce_leaving(self) -> None:
        """Notifies all other entries that this one is shutting down."""

    def add_peer(self, peer: PeerSettings) -> None:
        """Opens and maintains a stream to an entry, whether in the settings or not.

        A mesh that reaches every entry without streams does nothing.

        Args:
            peer: Name and address of the entry.
        """
        return

    def block_process(self, name: str, incarnation: str) -> None:
        """Refuses streams with a process that a newer one of its name has replaced.

        A mesh without streams does nothing.

        Args:
            name: Name of the entry.
            incarnation: Incarnation of the process that was replaced.
        """
        return

    @abstractmethod
    def running(self) -> AbstractAsyncContextManager[None]:
        """Returns a context in which the mesh accepts and opens streams."""
