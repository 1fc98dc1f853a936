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
    named = (change.change_id, change.content_hash)
    await changes.review("ben", *named, approve=True)
    faulty.faults.lose_answers = 1
    accepted = await changes.accept("cal", *named)
    assert accepted.version == 1
    assert (await changes.show("yard")).change_id == change.change_id


async def test_repeated_acceptance_is_answered_with_the_first(
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


async def test_same_operator_racing_himself_through_two_entries(
    changes, new_changes, template_text
):
    change = await propose_reviewed(changes, template_text())
    entries = [changes, new_changes("entry-2"), new_changes("entry-3")]
    answers = await asyncio.gather(*(accept(entry, change) for entry in entries))
    assert len(set(map(str, answers))) == 1
    assert (await changes.show("yard")).version == 1


async def test_race_of_two_changes_has_one_winner_and_names_it(
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


async def test_acceptance_that_overtakes_its_review_is_refused(changes, template_text):
    change = await changes.propose("ann", template_text(), 0)
    with pytest.raises(ConflictError, match="is proposed"):
        await accept(changes, change)


async def test_outage_at_acceptance_then_repeat(changes, faulty, template_text):
    change = await propose_reviewed(changes, template_text())
    faulty.faults.down = True
    with pytest.raises(StoreUnavailableError):
        await accept(changes, change)
    faulty.faults.down = False
    assert (await accept(changes, change)).version == 1


async def test_undo_is_a_new_version(changes, template_text):
    for version, vms in enumerate((3, 4, 3)):
        change = await propose_reviewed(changes, template_text(vms), version)
        await accept(changes, change)
    shown = await changes.show("yard")
    assert shown.version == 3
    assert shown.document["pools"]["bookings"]["vms"] == 3


async def test_proposer_neither_reviews_nor_accepts(changes, template_text):
    change = await changes.propose("ann", template_text(), 0)
    named = (change.change_id, change.content_hash)
    with pytest.raises(ForbiddenError):
        await changes.review("ann", *named, approve=True)
    await changes.review("ben", *named, approve=True)
    with pytest.raises(ForbiddenError):
        await changes.accept("ann", *named)
    assert (await changes.accept("ben", *named)).version == 1


async def test_review_names_exactly_one_content(changes, template_text):
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


async def test_repeated_and_contradicting_reviews(changes, template_text):
    change = await changes.propose("ann", template_text(), 0)
    named = (change.change_id, change.content_hash)
    first = await changes.review("ben", *named, approve=False)
    assert await changes.review("ben", *named, approve=False) == first
    with pytest.raises(ConflictError):
        await changes.review("ben", *named, approve=True)
    with pytest.raises(ConflictError):
        await accept(changes, change)


async def test_repeated_proposal_is_one_change(changes, template_text):
    first = await changes.propose("ann", template_text(), 0)
    assert await changes.propose("ann", template_text(), 0) == first
    other = await changes.propose("dan", template_text(), 0)
    assert other.change_id != first.change_id


async def test_proposals_at_once_get_numbers_of_their_own(
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


async def test_fleet_that_cannot_satisfy_refuses_at_proposal_and_acceptance(
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
async def test_id_that_no_change_can_have_is_not_found(changes, change_id):
    with pytest.raises(NotFoundError):
        await changes.find(change_id)


@pytest.mark.parametrize("name", ["", "a/b", "a b", "x" * 64, "../a"])
async def test_name_that_cannot_be_a_key_is_refused(changes, template_text, name):
    with pytest.raises(TemplateError, match="name"):
        await changes.propose("ann", template_text(name=name), 0)


async def test_state_is_told_by_the_history(changes, template_text):
    change = await propose_reviewed(changes, template_text())
    await accept(changes, change)
    page = await changes.history("yard")
    assert [entry.state for entry in page.changes] == [ChangeState.ACCEPTED]


async def test_version_is_passed_on_once_the_store_has_confirmed_it(
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


async def test_refused_acceptance_is_not_passed_on(new_changes, template_text):
    accepted = []
    changes = new_changes("entry-1", on_accepted=accepted.append)
    first = await propose_reviewed(changes, template_text())
    second = await propose_reviewed(changes, template_text(4))
    await accept(changes, first)
    with pytest.raises(ConflictError):
        await accept(changes, second)
    assert [item.content_hash for item in accepted] == [first.content_hash]
