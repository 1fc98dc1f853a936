"""The contract between entries: membership, calls and broadcasts."""

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
        availability_zone: Its availability zone.
        region: Its region.
        incarnation: Differs after every start of the process.
        state: How this entry sees it.
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
    """Streams to all other entries.

    Messages are NamedTuple classes; the name of the class is its kind on the
    wire, and the receiver checks the fields against the class.

    Attributes:
        name: Name of this entry.
    """

    name: str

    @abstractmethod
    def members(self) -> tuple[Member, ...]:
        """Returns all known entries, this one included, sorted by name."""

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
            PeerUnavailableError: Not sent.
            PeerTimeoutError: Sent, but no answer in time.
            PeerProtocolError: The answer is malformed.
        """

    @abstractmethod
    def broadcast(self, message: tuple[object, ...]) -> None:
        """Sends a message to every other entry without waiting.

        Nothing tells whether it arrives.
        """

    @abstractmethod
    def announce_leaving(self) -> None:
        """Tells all other entries that this one is leaving."""

    def add_peer(self, peer: PeerSettings) -> None:
        """Keeps a stream to an entry, also one that the settings do not name.

        A mesh that reaches every entry anyway does nothing.

        Args:
            peer: Name and address of the entry.
        """
        return

    def block_process(self, name: str, incarnation: str) -> None:
        """Refuses streams with a process that another of its name has replaced.

        A mesh without streams of its own does nothing.

        Args:
            name: Name of the entry.
            incarnation: Incarnation of the process that was replaced.
        """
        return

    @abstractmethod
    def running(self) -> AbstractAsyncContextManager[None]:
        """Keeps the streams within the block."""
