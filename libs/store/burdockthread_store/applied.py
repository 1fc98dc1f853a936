"""The accepted templates that this process has in force."""

from collections.abc import Callable

from burdockthread_model.errors import TemplateError
from burdockthread_model.events import EventLog
from burdockthread_model.intended import AcceptedTemplate
from burdockthread_model.rendering import decode_accepted

from burdockthread_store.store import KeyValue

HEAD_PREFIX = "config/head/"

Listener = Callable[[AcceptedTemplate], None]


class AppliedConfiguration:
    """Keeps the newest accepted version of each template in memory.

    Versions only move forward, whatever order they are delivered in.
    """

    def __init__(self, log: EventLog) -> None:
        self.log = log
        self.templates: dict[str, AcceptedTemplate] = {}
        self.listeners: list[Listener] = []

    def apply(self, accepted: AcceptedTemplate, source: str) -> bool:
        """Puts a version in force unless a newer one is.

        Args:
            accepted: Version delivered by a watch, a listing or a peer.
            source: Who delivered it, for the log.

        Returns:
            Whether it is now in force and was not before.
        """
        current = self.templates.get(accepted.name)
        if current is not None and current.version >= accepted.version:
            return False
        self.templates[accepted.name] = accepted
        for listener in self.listeners:
            listener(accepted)
        self.log.info(
            "configuration_applied",
            template=accepted.name,
            version=accepted.version,
            source=source,
        )
        return True

    def on_item(self, key: str, item: KeyValue | None) -> None:
        """Takes a head in from the store; a deleted head stays in force."""
        if item is None:
            self.log.warning("configuration_head_deleted", store_key=key)
            return
        try:
            self.apply(decode_accepted(item.value), "store")
        except TemplateError as error:
            self.log.error("configuration_refused", store_key=key, reason=error)

    def versions(self) -> dict[str, int]:
        """Returns the version in force of each template."""
        return {name: item.version for name, item in self.templates.items()}
