"""Changes of templates: proposed, reviewed and accepted."""

import secrets
from enum import StrEnum
from typing import NamedTuple

from burdockthread_model.clock import Clock
from burdockthread_model.errors import (
    ConflictError,
    ForbiddenError,
    NotFoundError,
)
from burdockthread_model.intended import AcceptedTemplate, TemplateDocument
from burdockthread_model.records import decode_record, encode_record
from burdockthread_model.rendering import (
    content_hash,
    decode_accepted,
    encode_accepted,
    parse_template,
)
from burdockthread_model.steps import Step, Steps
from burdockthread_store.applied import HEAD_PREFIX
from burdockthread_store.store import Change, ConfigurationStore, KeyValue

CHANGE_PREFIX = "change/"


class ChangeState(StrEnum):
    """State of a change."""

    PROPOSED = "proposed"
    REVIEWED = "reviewed"
    REJECTED = "rejected"
    ACCEPTED = "accepted"


class TemplateChange(NamedTuple):
    """A proposed change of a template, kept at ``change/<template>/<id>``.

    Attributes:
        change_id: Unique id.
        template: Name of the template.
        base_version: Accepted version that the change starts from; 0 for none.
        content_hash: Hash of the document; review and acceptance name it.
        document: The template as proposed.
        proposer: Operator who proposed it.
        proposed_s: Unix time of the proposal.
        state: Where it stands.
        reviewer: Operator who reviewed it, or empty.
        reviewed_s: Unix time of the review, or 0.
        accepter: Operator who accepted it, or empty.
        accepted_s: Unix time of the acceptance, or 0.
        version: Version that it became, or 0.
        comment: Reviewer's comment.
    """

    change_id: str
    template: str
    base_version: int
    content_hash: str
    document: TemplateDocument
    proposer: str
    proposed_s: float
    state: ChangeState
    reviewer: str = ""
    reviewed_s: float = 0.0
    accepter: str = ""
    accepted_s: float = 0.0
    version: int = 0
    comment: str = ""


class StoredChange(NamedTuple):
    """A change with the key and revision that it was read at."""

    change: TemplateChange
    key: str
    revision: int


class TemplateChanges:
    """Proposes, reviews and accepts changes; the store keeps them."""

    def __init__(self, store: ConfigurationStore, clock: Clock, steps: Steps) -> None:
        self.store = store
        self.clock = clock
        self.steps = steps

    async def propose(
        self, operator: str, data: bytes, base_version: int
    ) -> TemplateChange:
        """Records a proposal.

        Args:
            operator: Who proposes.
            data: JSON text of the template.
            base_version: Accepted version that the proposal starts from.

        Returns:
            The change.

        Raises:
            TemplateError: The template is invalid.
            ConflictError: `base_version` is not the accepted version.
            StoreError: The store did not answer.
        """
        document = parse_template(data)
        await self.steps.reach(Step.TEMPLATE_READ)
        await self.check_base(document["name"], base_version)
        change = TemplateChange(
            change_id=secrets.token_hex(6),
            template=document["name"],
            base_version=base_version,
            content_hash=content_hash(document),
            document=document,
            proposer=operator,
            proposed_s=self.clock.wall(),
            state=ChangeState.PROPOSED,
        )
        key = change_key(change.template, change.change_id)
        await self.store.write([Change(key, encode_record(change), 0)])
        await self.steps.reach(Step.TEMPLATE_PROPOSED)
        return change

    async def check_base(self, template: str, base_version: int) -> KeyValue | None:
        """Refuses a base version that is not the accepted one.

        Returns:
            The accepted version as stored, or None if there is none.
        """
        head = await self.store.get(HEAD_PREFIX + template)
        version = 0 if head is None else decode_accepted(head.value).version
        if version != base_version:
            raise ConflictError(
                f"{template} is at version {version}, not {base_version}"
            )
        return head

    async def review(
        self, operator: str, change_id: str, reviewed_hash: str, *, approve: bool
    ) -> TemplateChange:
        """Records a review of exactly one content hash.

        Raises:
            NotFoundError: No such change.
            ForbiddenError: The reviewer proposed the change.
            ConflictError: Another hash, or the change is no longer proposed.
            StoreError: The store did not answer.
        """
        stored = await self.find(change_id)
        change = stored.change
        check_hash(change, reviewed_hash)
        check_state(change, ChangeState.PROPOSED)
        if change.proposer == operator:
            raise ForbiddenError(f"{operator} proposed the change")
        state = ChangeState.REVIEWED if approve else ChangeState.REJECTED
        reviewed = change._replace(
            state=state, reviewer=operator, reviewed_s=self.clock.wall()
        )
        await self.store.write(
            [Change(stored.key, encode_record(reviewed), stored.revision)]
        )
        await self.steps.reach(Step.TEMPLATE_REVIEWED)
        return reviewed

    async def accept(
        self, operator: str, change_id: str, accepted_hash: str
    ) -> TemplateChange:
        """Makes a reviewed change the accepted version.

        Raises:
            NotFoundError: No such change.
            ForbiddenError: The operator proposed the change.
            ConflictError: Another hash, not reviewed, or another change of the
                template was accepted first.
            StoreError: The store did not answer.
        """
        stored = await self.find(change_id)
        change = stored.change
        check_hash(change, accepted_hash)
        check_state(change, ChangeState.REVIEWED)
        if change.proposer == operator:
            raise ForbiddenError(f"{operator} proposed the change")
        head = await self.check_base(change.template, change.base_version)
        await self.steps.reach(Step.TEMPLATE_CHECKED)
        accepted = change._replace(
            state=ChangeState.ACCEPTED,
            accepter=operator,
            accepted_s=self.clock.wall(),
            version=change.base_version + 1,
        )
        head_revision = 0 if head is None else head.revision
        head_value = encode_accepted(accepted_template(accepted))
        await self.store.write(
            [
                Change(HEAD_PREFIX + change.template, head_value, head_revision),
                Change(stored.key, encode_record(accepted), stored.revision),
            ]
        )
        await self.steps.reach(Step.TEMPLATE_ACCEPTED)
        return accepted

    async def find(self, change_id: str) -> StoredChange:
        """Reads a change by its id.

        Raises:
            NotFoundError: No such change.
        """
        for stored in await self.list_stored():
            if stored.change.change_id == change_id:
                return stored
        raise NotFoundError(f"no change {change_id}")

    async def list_stored(self, template: str = "") -> list[StoredChange]:
        """Reads all changes, of one template if it is given."""
        prefix = CHANGE_PREFIX + (f"{template}/" if template else "")
        listing = await self.store.list(prefix)
        return [
            StoredChange(
                decode_record(item.value, TemplateChange), item.key, item.revision
            )
            for item in listing.items
        ]

    async def history(self, template: str) -> list[TemplateChange]:
        """Reads the changes of a template, oldest first."""
        changes = [stored.change for stored in await self.list_stored(template)]
        return sorted(changes, key=lambda change: change.proposed_s)

    async def show(self, template: str) -> AcceptedTemplate:
        """Reads the accepted version of a template.

        Raises:
            NotFoundError: No version was accepted.
        """
        head = await self.store.get(HEAD_PREFIX + template)
        if head is None:
            raise NotFoundError(f"no accepted template {template}")
        return decode_accepted(head.value)


def change_key(template: str, change_id: str) -> str:
    """Returns the key of a change."""
    return f"{CHANGE_PREFIX}{template}/{change_id}"


def check_hash(change: TemplateChange, given: str) -> None:
    """Refuses a content hash that is not the change's."""
    if given != change.content_hash:
        raise ConflictError(
            f"change {change.change_id} has content hash {change.content_hash}"
        )


def check_state(change: TemplateChange, expected: ChangeState) -> None:
    """Refuses a change in another state."""
    if change.state is not expected:
        raise ConflictError(f"change {change.change_id} is {change.state}")


def accepted_template(change: TemplateChange) -> AcceptedTemplate:
    """Returns the accepted version that a change becomes."""
    return AcceptedTemplate(
        name=change.template,
        version=change.version,
        content_hash=change.content_hash,
        change_id=change.change_id,
        accepted_s=change.accepted_s,
        document=change.document,
    )
