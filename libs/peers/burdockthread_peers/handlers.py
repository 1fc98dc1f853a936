"""Table of message handlers, and the encoding of message fields."""

from typing import Any, NamedTuple, TypeVar

import msgspec
from burdockthread_model.errors import PeerProtocolError

from burdockthread_peers.mesh import Handler

Fields = TypeVar("Fields", bound=tuple[object, ...])


class Registration(NamedTuple):
    """A message class with the class of its answer and its handler."""

    message: type[Any]
    reply: type[Any]
    handler: Handler[Any, Any]


class HandlerTable:
    """Dispatches messages to handlers by their kind."""

    def __init__(self) -> None:
        self.registrations: dict[str, Registration] = {}

    def register(
        self, message: type[Any], reply: type[Any], handler: Handler[Any, Any]
    ) -> None:
        """Sets the handler of a kind of message; replaces an earlier one."""
        self.registrations[message.__name__] = Registration(message, reply, handler)

    async def handle(
        self, sender: str, kind: str, fields: list[object]
    ) -> tuple[object, ...]:
        """Decodes a message, calls its handler and returns the answer.

        Raises:
            PeerProtocolError: The kind is unknown or a field has the wrong type.
        """
        registration = self.registrations.get(kind)
        if registration is None:
            raise PeerProtocolError(f"unknown kind of message {kind!r}")
        message = decode_fields(fields, registration.message)
        reply: tuple[object, ...] = await registration.handler(sender, message)
        return reply


def decode_fields(fields: list[object], kind: type[Fields]) -> Fields:
    """Builds a message from its fields.

    Raises:
        PeerProtocolError: A field is missing or has the wrong type.
    """
    try:
        return msgspec.convert(fields, kind)
    except msgspec.ValidationError as error:
        raise PeerProtocolError(f"{kind.__name__}: {error}") from error


def encode_fields(message: tuple[object, ...]) -> list[object]:
    """Returns the fields of a message, in order, as values for msgpack."""
    fields: list[object] = msgspec.to_builtins(message, builtin_types=(bytes,))
    return fields
