import asyncio

import pytest
from burdockthread_model.errors import (
    ConflictError,
    ForbiddenError,
    NotFoundError,
    StoreUnavailableError,
    TemplateError,
)
from burdockthread_operators.change_records import CHANGE_PREFIX, ChangeState
from burdockthread_store.store import Change


async def propose_reviewed(changes, data, base=0):
    change = await changes.propose("ann", data, base)
    await changes.review("ben", change.change_id, change.content_hash, approve=True)
    return change


async def accept(changes, change, operator="cal"):
    return await changes.accept(operator, change.change_id, change.content_hash)


async def test_each_step_survives_a_lost_answer(changes, faulty, template_text):
    faulty.faults.lose_answers = 1
    change = await changes.propose("ann", template_text(), 0)
    faulty.faults.lose_answers = 1
    id_and_hash = (change.change_id, change.content_hash)
    await changes.review("ben", *id_and_hash, approve=True)
    faulty.faults.lose_answers = 1
    accepted = await changes.accept("cal", *id_and_hash)
    assert accepted.version == 1
    assert (await changes.show("yard")).change_id == change.change_id


async def test_repeated_acceptance_returns_the_recorded_one(
    changes, new_changes, template_text, clock
):
    change = await propose_reviewed(changes, template_text())
    first = await accept(changes, change)
    later = await propose_reviewed(changes, template_text(4), 1)
    await accept(changes, later)
    await clock.advance(60.0)
    assert await accept(new_changes("entry-2"), change) == first
    assert (await changes.show("yard")).version == 2


async def test_acceptance_repeated_by_another_operator_is_a_conflict(
    changes, template_text
):
    change = await propose_reviewed(changes, template_text())
    await accept(changes, change)
    with pytest.raises(ConflictError, match="is accepted"):
        await accept(changes, change, "dan")


async def test_one_operator_accepting_at_three_entries_creates_one_version(
    changes, new_changes, template_text
):
    change = await propose_reviewed(changes, template_text())
    entries = [changes, new_changes("entry-2"), new_changes("entry-3")]
    answers = await asyncio.gather(*(accept(entry, change) for entry in entries))
    assert len(set(map(str, answers))) == 1
    assert (await changes.show("yard")).version == 1


async def test_one_of_two_concurrent_acceptances_is_a_conflict(
    changes, new_changes, template_text
):
    other = new_changes("entry-2")
    first = await propose_reviewed(changes, template_text(3))
    second = await propose_reviewed(other, template_text(4))
    answers = await asyncio.gather(
        accept(changes, first), accept(other, second, "dan"), return_exceptions=True
    )
    lost = [answer for answer in answers if isinstance(answer, Exception)]
    assert len(lost) == 1
    with pytest.raises(ConflictError, match="yard is at version 1, not 0"):
        raise lost[0]


async def test_acceptance_before_the_review_is_refused(changes, template_text):
    change = await changes.propose("ann", template_text(), 0)
    with pytest.raises(ConflictError, match="is proposed"):
        await accept(changes, change)


async def test_acceptance_succeeds_when_repeated_after_a_store_outage(
    changes, faulty, template_text
):
    change = await propose_reviewed(changes, template_text())
    faulty.faults.down = True
    with pytest.raises(StoreUnavailableError):
        await accept(changes, change)
    faulty.faults.down = False
    assert (await accept(changes, change)).version == 1


async def test_return_to_an_earlier_document_is_a_new_version(changes, template_text):
    for version, vms in enumerate((3, 4, 3)):
        change = await propose_reviewed(changes, template_text(vms), version)
        await accept(changes, change)
    shown = await changes.show("yard")
    assert shown.version == 3
    assert shown.document["pools"]["bookings"]["vms"] == 3


async def test_proposer_may_neither_review_nor_accept(changes, template_text):
    change = await changes.propose("ann", template_text(), 0)
    id_and_hash = (change.change_id, change.content_hash)
    with pytest.raises(ForbiddenError):
        await changes.review("ann", *id_and_hash, approve=True)
    await changes.review("ben", *id_and_hash, approve=True)
    with pytest.raises(ForbiddenError):
        await changes.accept("ann", *id_and_hash)
    assert (await changes.accept("ben", *id_and_hash)).version == 1


async def test_review_with_another_content_hash_is_refused(changes, template_text):
    change = await changes.propose("ann", template_text(), 0)
    for given in ("", change.content_hash[:-1], change.content_hash.upper()):
        with pytest.raises(ConflictError):
            await changes.review("ben", change.change_id, given, approve=True)


async def test_document_changed_in_the_store_is_not_accepted(
    changes, store, template_text
):
    change = await propose_reviewed(changes, template_text())
    stored = await changes.find(change.change_id)
    item = await store.get(stored.key)
    forged = item.value.replace(b'"vms":3', b'"vms":9')
    await store.write([Change(item.key, forged, item.revision)])
    with pytest.raises(ConflictError, match="no longer has the content"):
        await accept(changes, change)


async def test_repeated_review_returns_the_first_and_contradicting_one_is_refused(
    changes, template_text
):
    change = await changes.propose("ann", template_text(), 0)
    id_and_hash = (change.change_id, change.content_hash)
    first = await changes.review("ben", *id_and_hash, approve=False)
    assert await changes.review("ben", *id_and_hash, approve=False) == first
    with pytest.raises(ConflictError):
        await changes.review("ben", *id_and_hash, approve=True)
    with pytest.raises(ConflictError):
        await accept(changes, change)


async def test_repeated_proposal_is_one_change(changes, template_text):
    first = await changes.propose("ann", template_text(), 0)
    assert await changes.propose("ann", template_text(), 0) == first
    other = await changes.propose("dan", template_text(), 0)
    assert other.change_id != first.change_id


async def test_concurrent_proposals_get_distinct_numbers(
    changes, new_changes, template_text
):
    entries = [changes, new_changes("entry-2"), new_changes("entry-3")]
    proposed = await asyncio.gather(
        *(
            entry.propose("ann", template_text(n), 0)
            for n, entry in enumerate(entries, 1)
        )
    )
    assert len({change.change_id for change in proposed}) == 3


async def test_unsatisfiable_template_is_refused_at_proposal_and_acceptance(
    new_changes, template_text
):
    limit = [5]

    def check(document):
        if document["pools"]["bookings"]["vms"] > limit[0]:
            raise TemplateError(f"asks for more than {limit[0]} VMs")

    changes = new_changes("entry-1", check)
    with pytest.raises(TemplateError, match="more than 5 VMs"):
        await changes.propose("ann", template_text(6), 0)
    change = await propose_reviewed(changes, template_text(4))
    limit[0] = 3
    with pytest.raises(TemplateError, match="more than 3 VMs"):
        await accept(changes, change)


async def test_history_is_read_by_pages_and_old_changes_are_deleted(
    changes, faulty, store, template_text, monkeypatch
):
    monkeypatch.setattr("burdockthread_operators.changes.KEPT_CHANGES", 5)
    proposed = [await changes.propose("ann", template_text(n), 0) for n in range(1, 13)]
    assert len((await store.list(CHANGE_PREFIX)).items) == 5
    lists = faulty.faults.counters.calls["list"]
    first = await changes.history("yard", limit=3)
    second = await changes.history("yard", first.before, limit=3)
    ids = [change.change_id for change in first.changes + second.changes]
    assert ids == [change.change_id for change in reversed(proposed[-5:])]
    assert second.before == 0
    assert faulty.faults.counters.calls["list"] == lists
    with pytest.raises(NotFoundError):
        await changes.find(proposed[0].change_id)


@pytest.mark.parametrize("change_id", ["", "yard", "yard:x", "a/b:1", "yard:1:2"])
async def test_invalid_change_id_is_not_found(changes, change_id):
    with pytest.raises(NotFoundError):
        await changes.find(change_id)


@pytest.mark.parametrize("name", ["", "a/b", "a b", "x" * 64, "../a"])
async def test_name_that_cannot_be_a_key_is_refused(changes, template_text, name):
    with pytest.raises(TemplateError, match="name"):
        await changes.propose("ann", template_text(name=name), 0)


async def test_history_shows_the_state(changes, template_text):
    change = await propose_reviewed(changes, template_text())
    await accept(changes, change)
    page = await changes.history("yard")
    assert [entry.state for entry in page.changes] == [ChangeState.ACCEPTED]


async def test_listener_gets_the_version_only_after_the_store_confirmed_it(
    new_changes, faulty, template_text
):
    accepted = []
    changes = new_changes("entry-1", on_accepted=accepted.append)
    change = await propose_reviewed(changes, template_text())
    faulty.faults.down = True
    with pytest.raises(StoreUnavailableError):
        await accept(changes, change)
    assert not accepted
    faulty.faults.down = False
    await accept(changes, change)
    assert [(item.name, item.version) for item in accepted] == [("yard", 1)]
    assert accepted[0].document == change.document


async def test_listener_is_not_called_for_a_refused_acceptance(
    new_changes, template_text
):
    accepted = []
    changes = new_changes("entry-1", on_accepted=accepted.append)
    first = await propose_reviewed(changes, template_text())
    second = await propose_reviewed(changes, template_text(4))
    await accept(changes, first)
    with pytest.raises(ConflictError):
        await accept(changes, second)
    assert [item.content_hash for item in accepted] == [first.content_hash]
