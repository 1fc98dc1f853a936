"""Changes of templates: proposed, reviewed and accepted."""

import asyncio
from collections.abc import Callable

from burdockthread_model.clock import Clock
from burdockthread_model.errors import (
    ConflictError,
    ForbiddenError,
    NotFoundError,
    StoreUnavailableError,
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

from burdockthread_operators.change_records import (
    KEPT_CHANGES,
    ChangeCounter,
    ChangeState,
    ChangeSummary,
    HistoryPage,
    StoredChange,
    TemplateChange,
    accepted_template,
    change_key,
    check_content,
    check_hash,
    check_name,
    check_state,
    counter_key,
    key_of_id,
    new_change_id,
)

PROPOSAL_ATTEMPTS = 8
MAX_PAGE = 50

TemplateCheck = Callable[[TemplateDocument], None]
AcceptedListener = Callable[[AcceptedTemplate], object]


def skip_check(document: TemplateDocument) -> None:
    """Checks nothing."""


def ignore_accepted(accepted: AcceptedTemplate) -> None:
    """Does nothing with an accepted version."""


class TemplateChanges:
    """Proposes, reviews and accepts changes; the store keeps them.

    The changes of a template are numbered by a counter of its own, so that an
    id leads to its key and a history is read page by page. The newest
    `KEPT_CHANGES` of each template are kept; each proposal deletes the one
    that falls out. The accepted version is kept apart and never deleted.

    Attributes:
        check: Refuses a valid template that the fleet cannot satisfy; called
            at the proposal and again at the acceptance.
        on_accepted: Called with each version whose acceptance the store has
            confirmed, so that it is in force without waiting for a watch.
    """

    def __init__(
        self,
        store: ConfigurationStore,
        clock: Clock,
        steps: Steps,
        check: TemplateCheck = skip_check,
        on_accepted: AcceptedListener = ignore_accepted,
    ) -> None:
        self.store = store
        self.clock = clock
        self.steps = steps
        self.check = check
        self.on_accepted = on_accepted

    async def propose(
        self, operator: str, data: bytes, base_version: int
    ) -> TemplateChange:
        """Records a proposal.

        A proposal that repeats the template's newest one, by the same operator
        and not reviewed yet, is answered with that one.

        Args:
            operator: Who proposes.
            data: JSON text of the template.
            base_version: Accepted version that the proposal starts from.

        Returns:
            The change.

        Raises:
            TemplateError: The template is invalid or cannot be satisfied.
            ConflictError: `base_version` is not the accepted version.
            StoreError: The store did not answer.
        """
        document = parse_template(data)
        check_name(document["name"])
        self.check(document)
        await self.steps.reach(Step.TEMPLATE_READ)
        await self.check_base(document["name"], base_version)
        for _ in range(PROPOSAL_ATTEMPTS):
            try:
                change = await self.add(operator, document, base_version)
            except ConflictError:
                continue
            await self.steps.reach(Step.TEMPLATE_PROPOSED)
            return change
        raise StoreUnavailableError("other proposals were always first")

    async def add(
        self, operator: str, document: TemplateDocument, base_version: int
    ) -> TemplateChange:
        """Writes a proposal under the next number.

        Raises:
            ConflictError: Another proposal took the number.
        """
        template = document["name"]
        counter = await self.store.get(counter_key(template))
        newest = newest_number(counter)
        change = TemplateChange(
            change_id=new_change_id(template, newest + 1),
            template=template,
            base_version=base_version,
            content_hash=content_hash(document),
            document=document,
            proposer=operator,
            proposed_s=self.clock.wall(),
            state=ChangeState.PROPOSED,
        )
        last = await self.read(change_key(template, newest))
        if last is not None and is_repeat(change, last.change):
            return last.change
        key = change_key(template, newest + 1)
        value = encode_record(ChangeCounter(newest + 1))
        revision = 0 if counter is None else counter.revision
        await self.store.write(
            [
                Change(key, encode_record(change), 0),
                Change(counter_key(template), value, revision),
                *await self.deletions(template, newest + 1 - KEPT_CHANGES),
            ]
        )
        return change

    async def deletions(self, template: str, number: int) -> tuple[Change, ...]:
        """Returns the deletion of a change, if it exists."""
        if number <= 0:
            return ()
        old = await self.store.get(change_key(template, number))
        if old is None:
            return ()
        return (Change(old.key, None, old.revision),)

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

        A review that repeats the operator's own is answered with that one.

        Raises:
            NotFoundError: No such change.
            ForbiddenError: The reviewer proposed the change.
            ConflictError: Another hash, or the change is no longer proposed.
            StoreError: The store did not answer.
        """
        stored = await self.find(change_id)
        change = stored.change
        check_hash(change, reviewed_hash)
        check_not_proposer(change, operator)
        if is_reviewed_by(change, operator, approve=approve):
            return change
        check_state(change, ChangeState.PROPOSED)
        check_content(change)
        state = ChangeState.REVIEWED if approve else ChangeState.REJECTED
        reviewed = change._replace(
            state=state, reviewer=operator, reviewed_s=self.clock.wall()
        )
        try:
            await self.store.write(
                [Change(stored.key, encode_record(reviewed), stored.revision)]
            )
        except ConflictError:
            reviewed = (await self.find(change_id)).change
            if not is_reviewed_by(reviewed, operator, approve=approve):
                raise ConflictError(
                    f"change {change_id} is {reviewed.state} by {reviewed.reviewer}"
                ) from None
        await self.steps.reach(Step.TEMPLATE_REVIEWED)
        return reviewed

    async def accept(
        self, operator: str, change_id: str, accepted_hash: str
    ) -> TemplateChange:
        """Makes a reviewed change the accepted version.

        An acceptance that repeats the operator's own is answered with that
        one, also when later versions were accepted since.

        Raises:
            NotFoundError: No such change.
            ForbiddenError: The operator proposed the change.
            ConflictError: Another hash, not reviewed, accepted by another
                operator, or another change of the template was accepted first.
            TemplateError: The fleet can no longer satisfy the template.
            StoreError: The store did not answer.
        """
        stored = await self.find(change_id)
        change = stored.change
        check_hash(change, accepted_hash)
        check_not_proposer(change, operator)
        if is_accepted_by(change, operator):
            self.on_accepted(accepted_template(change))
            return change
        check_state(change, ChangeState.REVIEWED)
        check_content(change)
        self.check(change.document)
        head = await self.check_base(change.template, change.base_version)
        await self.steps.reach(Step.TEMPLATE_CHECKED)
        accepted = change._replace(
            state=ChangeState.ACCEPTED,
            accepter=operator,
            accepted_s=self.clock.wall(),
            version=change.base_version + 1,
        )
        try:
            await self.put_accepted(accepted, head, stored)
        except ConflictError:
            accepted = await self.resolve_accept_conflict(operator, change)
        await self.steps.reach(Step.TEMPLATE_ACCEPTED)
        self.on_accepted(accepted_template(accepted))
        return accepted

    async def put_accepted(
        self, accepted: TemplateChange, head: KeyValue | None, stored: StoredChange
    ) -> None:
        """Writes the accepted version and its change together.

        Raises:
            ConflictError: Either has changed since it was read.
        """
        head_revision = 0 if head is None else head.revision
        head_value = encode_accepted(accepted_template(accepted))
        await self.store.write(
            [
                Change(HEAD_PREFIX + accepted.template, head_value, head_revision),
                Change(stored.key, encode_record(accepted), stored.revision),
            ]
        )

    async def resolve_accept_conflict(
        self, operator: str, change: TemplateChange
    ) -> TemplateChange:
        """Finds out who was first.

        Returns:
            The change, if the same operator accepted it by another request.

        Raises:
            ConflictError: Another operator or another change was first.
        """
        found = (await self.find(change.change_id)).change
        if is_accepted_by(found, operator):
            return found
        check_state(found, ChangeState.REVIEWED)
        await self.check_base(change.template, change.base_version)
        raise ConflictError(f"change {change.change_id} was written by another")

    async def find(self, change_id: str) -> StoredChange:
        """Reads a change by its id.

        Raises:
            NotFoundError: No such change, or it is no longer kept.
        """
        found = await self.read(key_of_id(change_id))
        if found is None:
            raise NotFoundError(f"no change {change_id}")
        return found

    async def read(self, key: str) -> StoredChange | None:
        """Reads a change by its key."""
        item = await self.store.get(key)
        if item is None:
            return None
        change = decode_record(item.value, TemplateChange)
        return StoredChange(change, item.key, item.revision)

    async def history(
        self, template: str, before: int = 0, limit: int = MAX_PAGE
    ) -> HistoryPage:
        """Reads a page of a template's changes, newest first.

        Args:
            template: Name of the template.
            before: Only changes with a lower number; 0 for the newest.
            limit: Most changes to read, up to `MAX_PAGE`.

        Raises:
            TemplateError: No template can have that name.
            StoreError: The store did not answer.
        """
        check_name(template)
        newest = newest_number(await self.store.get(counter_key(template)))
        last = min(newest, before - 1) if before > 0 else newest
        first = max(last - min(max(limit, 1), MAX_PAGE), newest - KEPT_CHANGES, 0) + 1
        numbers = range(last, first - 1, -1)
        keys = [change_key(template, number) for number in numbers]
        found = await asyncio.gather(*(self.read(key) for key in keys))
        summaries = tuple(ChangeSummary.from_change(s.change) for s in found if s)
        more = keys and first > max(newest - KEPT_CHANGES, 0) + 1
        return HistoryPage(summaries, first if more else 0)

    async def show(self, template: str) -> AcceptedTemplate:
        """Reads the accepted version of a template.

        Raises:
            NotFoundError: No version was accepted.
        """
        head = await self.store.get(HEAD_PREFIX + template)
        if head is None:
            raise NotFoundError(f"no accepted template {template}")
        return decode_accepted(head.value)


def newest_number(counter: KeyValue | None) -> int:
    """Returns the number of the newest change."""
    if counter is None:
        return 0
    return decode_record(counter.value, ChangeCounter).newest


def is_repeat(change: TemplateChange, last: TemplateChange) -> bool:
    """Returns whether a proposal says the same as the last one, still open."""
    same = change._replace(change_id=last.change_id, proposed_s=last.proposed_s)
    return same == last


def check_not_proposer(change: TemplateChange, operator: str) -> None:
    """Refuses the proposer as reviewer or accepter.

    Raises:
        ForbiddenError: The operator proposed the change.
    """
    if change.proposer == operator:
        raise ForbiddenError(f"{operator} proposed change {change.change_id}")


def is_reviewed_by(change: TemplateChange, operator: str, *, approve: bool) -> bool:
    """Returns whether a change holds this very review."""
    if change.reviewer != operator:
        return False
    return (change.state is not ChangeState.REJECTED) == approve


def is_accepted_by(change: TemplateChange, operator: str) -> bool:
    """Returns whether a change was accepted by an operator."""
    return change.state is ChangeState.ACCEPTED and change.accepter == operator
