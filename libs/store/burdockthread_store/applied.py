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

        Raises:
            TemplateError: The name or the version is malformed.
        """
        check_accepted(accepted)
        current = self.templates.get(accepted.name)
        if current is not None and current.version >= accepted.version:
            self.report_divergence(current, accepted)
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

    def report_divergence(
        self, current: AcceptedTemplate, other: AcceptedTemplate
    ) -> None:
        """Logs two contents under one version, as a restored store may hold."""
        if current.version != other.version:
            return
        if current.content_hash != other.content_hash:
            self.log.error(
                "configuration_diverged",
                template=current.name,
                version=current.version,
                in_force=current.content_hash,
                delivered=other.content_hash,
            )

    def on_item(self, key: str, item: KeyValue | None) -> None:
        """Takes a head in from the store; a deleted head stays in force."""
        if item is None:
            self.log.warning("configuration_head_deleted", store_key=key)
            return
        try:
            accepted = decode_accepted(item.value)
            check_key(key, accepted)
            self.apply(accepted, "store")
        except TemplateError as error:
            self.log.error("configuration_refused", store_key=key, reason=error)

    def versions(self) -> dict[str, int]:
        """Returns the version in force of each template."""
        return {name: item.version for name, item in self.templates.items()}


def check_accepted(accepted: AcceptedTemplate) -> None:
    """Refuses what cannot be compared with other versions.

    Raises:
        TemplateError: The name or the version is malformed.
    """
    if not isinstance(accepted.name, str):
        raise TemplateError("accepted template: name: expected text")
    if type(accepted.version) is not int or accepted.version < 1:
        raise TemplateError(f"{accepted.name}: version: expected 1 or more")


def check_key(key: str, accepted: AcceptedTemplate) -> None:
    """Refuses a template below the key of another.

    Raises:
        TemplateError: The names differ.
    """
    if key != f"{HEAD_PREFIX}{accepted.name}":
        raise TemplateError(f"{key} holds template {accepted.name}")
