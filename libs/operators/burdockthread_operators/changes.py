"""Proposal, review and acceptance of changes of templates."""

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
    """Accepts every document; the default check."""


def ignore_accepted(accepted: AcceptedTemplate) -> None:
    """Does nothing; the default listener for accepted versions."""


class TemplateChanges:
    """Proposes, reviews and accepts changes, which are records in the store.

    Each template has a counter that numbers its changes, so that the key of a
    change follows from its id and a history is read in pages. The newest
    `KEPT_CHANGES` of each template are kept; each proposal deletes the change
    that exceeds this number. The accepted version has a key of its own and is
    never deleted.

    Attributes:
        check: Raises TemplateError for a valid template that the fleet cannot
            satisfy; called at the proposal and again at the acceptance.
        on_accepted: Called with each version whose acceptance the store has
            confirmed, so that the version is applied here before the store's
            watch reports it.
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

        A proposal that equals the template's newest change returns that change
        if the same operator proposed it and no review has been recorded.

        Args:
            operator: Name of the proposer.
            data: JSON text of the template.
            base_version: Accepted version that the proposal changes; 0 for none.

        Returns:
            The recorded change.

        Raises:
            TemplateError: The template is invalid or cannot be satisfied.
            ConflictError: `base_version` is not the accepted version.
            StoreError: The store did not answer, or other proposals took the
                number in each of `PROPOSAL_ATTEMPTS` attempts.
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
        raise StoreUnavailableError(
            f"proposal for template {document['name']} conflicted with other proposals"
            f" in {PROPOSAL_ATTEMPTS} attempts"
        )

    async def add(
        self, operator: str, document: TemplateDocument, base_version: int
    ) -> TemplateChange:
        """Writes a proposal under the next number, or returns the one it repeats.

        Raises:
            ConflictError: Another proposal took the number first.
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
        """Returns the deletion of a change, or nothing if the change does not exist."""
        if number <= 0:
            return ()
        old = await self.store.get(change_key(template, number))
        if old is None:
            return ()
        return (Change(old.key, None, old.revision),)

    async def check_base(self, template: str, base_version: int) -> KeyValue | None:
        """Checks that the base version is the accepted version.

        Returns:
            The accepted version as stored, or None if there is none.

        Raises:
            ConflictError: Another version is the accepted one.
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
        """Records a review, which applies to exactly one content hash.

        A repeated review by the same operator returns the recorded one.

        Raises:
            NotFoundError: No such change.
            ForbiddenError: The reviewer proposed the change.
            ConflictError: The hash differs, or the change is no longer in state
                proposed.
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

        A repeated acceptance by the same operator returns the recorded one,
        even if later versions have been accepted since.

        Raises:
            NotFoundError: No such change.
            ForbiddenError: The operator proposed the change.
            ConflictError: The hash differs, the change is not reviewed or was
                accepted by another operator, or another change of the template
                was accepted first.
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
        """Writes the accepted version and its change in one transaction.

        Raises:
            ConflictError: One of the two was modified since it was read.
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
        """Determines why the write of an acceptance conflicted.

        Returns:
            The accepted change, if another request of the same operator won.

        Raises:
            ConflictError: Another operator or another change won; the message
                names the cause.
        """
        found = (await self.find(change.change_id)).change
        if is_accepted_by(found, operator):
            return found
        check_state(found, ChangeState.REVIEWED)
        await self.check_base(change.template, change.base_version)
        raise ConflictError(
            f"change {change.change_id} was modified by another request"
        )

    async def find(self, change_id: str) -> StoredChange:
        """Reads a change by its id.

        Raises:
            NotFoundError: The change does not exist or was deleted as one of the
                oldest.
        """
        found = await self.read(key_of_id(change_id))
        if found is None:
            raise NotFoundError(f"no change {change_id}")
        return found

    async def read(self, key: str) -> StoredChange | None:
        """Reads a change by its key; returns None if there is none."""
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
            limit: Maximum number of changes, at most `MAX_PAGE`.

        Raises:
            TemplateError: The name is not valid for a template.
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
            NotFoundError: No version of the template was accepted.
        """
        head = await self.store.get(HEAD_PREFIX + template)
        if head is None:
            raise NotFoundError(f"no accepted template {template}")
        return decode_accepted(head.value)


def newest_number(counter: KeyValue | None) -> int:
    """Returns the number of the newest change; 0 if there is none."""
    if counter is None:
        return 0
    return decode_record(counter.value, ChangeCounter).newest


def is_repeat(change: TemplateChange, last: TemplateChange) -> bool:
    """Returns whether a proposal equals the newest change.

    A change with a review is never equal, because its state differs.
    """
    same = change._replace(change_id=last.change_id, proposed_s=last.proposed_s)
    return same == last


def check_not_proposer(change: TemplateChange, operator: str) -> None:
    """Checks that the proposer does not review or accept the change.

    Raises:
        ForbiddenError: The operator proposed the change.
    """
    if change.proposer == operator:
        raise ForbiddenError(
            f"{operator} proposed change {change.change_id}"
            " and may neither review nor accept it"
        )


def is_reviewed_by(change: TemplateChange, operator: str, *, approve: bool) -> bool:
    """Returns whether the operator already gave this review of a change."""
    if change.reviewer != operator:
        return False
    return (change.state is not ChangeState.REJECTED) == approve


def is_accepted_by(change: TemplateChange, operator: str) -> bool:
    """Returns whether a change was accepted by this operator."""
    return change.state is ChangeState.ACCEPTED and change.accepter == operator
