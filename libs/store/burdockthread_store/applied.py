"""The accepted template versions that this process applies."""

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

    The version of a template never decreases, in whatever order versions are
    delivered.

    Attributes:
        log: Receives an event for each version that is applied or refused.
        templates: Newest accepted version by template name.
        listeners: Called with each version that is newly applied.
    """

    def __init__(self, log: EventLog) -> None:
        self.log = log
        self.templates: dict[str, AcceptedTemplate] = {}
        self.listeners: list[Listener] = []

    def apply(self, accepted: AcceptedTemplate, source: str) -> bool:
        """Applies a version unless the same or a newer one is applied already.

        Args:
            accepted: Version delivered by a watch, a listing or a peer.
            source: Origin of the version, for the log.

        Returns:
            True if the version was applied; False if it was not newer.

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
        """Logs an error if two documents have the same version number.

        This can happen after the store was restored from a backup.
        """
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
        """Applies a template head from the store; listener of a `PrefixCache`.

        The template of a deleted head stays applied, and a malformed head is
        logged and ignored.
        """
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
        """Returns the applied version of each template by name."""
        return {name: item.version for name, item in self.templates.items()}


def check_accepted(accepted: AcceptedTemplate) -> None:
    """Checks the name and version number of an accepted template.

    Raises:
        TemplateError: The name is no string or the version no positive integer.
    """
    if not isinstance(accepted.name, str):
        raise TemplateError(
            f"accepted template: name: expected text, got {accepted.name!r}"
        )
    if type(accepted.version) is not int or accepted.version < 1:
        raise TemplateError(
            f"{accepted.name}: version: expected 1 or more, got {accepted.version!r}"
        )


def check_key(key: str, accepted: AcceptedTemplate) -> None:
    """Checks that a template is stored under its own key.

    Raises:
        TemplateError: The key is that of another template.
    """
    if key != f"{HEAD_PREFIX}{accepted.name}":
        raise TemplateError(f"store key {key} holds the template named {accepted.name}")
