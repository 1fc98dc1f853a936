"""Callers at entries that the store turns away, or that a partition cuts from it.

The pattern: the store serves some entries and not others for seconds, or nobody, while
callers keep coming to all of them.
"""

import asyncio

import pytest
from burdockthread_model.errors import PeerTimeoutError, PeerUnavailableError
from burdockthread_scheduling.desk import UnsettledError
from burdockthread_scheduling.request_relay import (
    MAX_RELAYS,
    CallerAnswer,
    CallerRequest,
    RelayLink,
    RequestRelay,
)
from burdockthread_scheduling.store_contact import STORE_SILENT_S, StoreContact

TIMEOUT_S = 3.0
REQUEST = CallerRequest("POST", "a.example", "/a/00000000000000aa", b"{}", TIMEOUT_S)
ACCEPTED = CallerAnswer(200, b"{}")
REFUSED = CallerAnswer(503, b"{}", 1.0)
PEERS = [f"10.0.0.{n}:7000" for n in range(8)]


class MemoryRelayLink(RelayLink):
    """Other entries, each with the answer or the error that it gives.

    Attributes:
        entries: Answer or error by address.
        asked: Addresses in the order in which they were asked.
        delay_s: Seconds that each answer takes.
    """

    def __init__(self, clock, entries):
        self.clock = clock
        self.entries = entries
        self.asked = []
        self.least_versions = []
        self.open = []
        self.delay_s = 0.01

    async def relay(self, address, request):
        self.asked.append(address)
        self.least_versions.append(request.least_version)
        self.open.append(request.is_open)
        await self.clock.sleep(self.delay_s)
        found = self.entries[address]
        if isinstance(found, Exception):
            raise found
        return found


class CutEntry:
    """An entry, what it answers from its own store, and the other entries."""

    def __init__(self, clock, metrics, log, entries):
        self.clock = clock
        self.contact_s = clock.now()
        self.link = MemoryRelayLink(clock, entries)
        self.unsent_refused = 0
        self.versions = []
        self.least_version = -1
        self.own = ACCEPTED
        self.open = False
        self.abandoned = False
        self.relay = RequestRelay(
            self.link,
            lambda: list(entries),
            StoreContact(clock, lambda: self.contact_s),
            lambda: self.least_version,
            self.versions.append,
            self.refuse_unsent,
            lambda request: self.open,
            clock,
            metrics,
            log,
        )

    def refuse_unsent(self):
        self.unsent_refused += 1

    async def handle(self, request):
        if self.own is None:
            await self.clock.sleep(request.timeout_s - 0.25)
            return CallerAnswer(504, b"{}", 1.0)
        return self.own

    async def ask(self, request=REQUEST):
        """Sends a request; returns its answer and the seconds that it took."""
        started_s = self.clock.now()
        answering = self.relay.answer(request, self.handle, lambda: self.abandoned)
        task = asyncio.create_task(answering)
        ended_s = None
        while self.clock.now() < started_s + TIMEOUT_S:
            await self.clock.advance(0.01)
            if task.done():
                ended_s = self.clock.now()
                break
        assert ended_s is not None
        return await task, ended_s - started_s

    def lose_contact(self):
        self.contact_s = self.clock.now() - STORE_SILENT_S


@pytest.fixture
def entry(clock, metrics, log):
    return CutEntry(clock, metrics, log, dict.fromkeys(PEERS, ACCEPTED))


async def test_entry_that_reaches_the_store_answers_itself(entry):
    assert (await entry.ask())[0] == ACCEPTED
    assert entry.link.asked == []


# Guards against callers turned away by an entry that the store turns away, while
# others could serve them: each such caller lost the second until it came back.
async def test_request_refused_by_the_store_here_is_served_by_another_entry(entry):
    entry.own = REFUSED
    answer, seconds = await entry.ask()
    assert answer == ACCEPTED
    assert seconds < 0.1


# Guards against an answer by another entry's configuration, after which this entry goes
# back to an older one.
async def test_version_by_which_another_entry_has_answered_is_kept(entry):
    entry.own = REFUSED
    entry.link.entries = dict.fromkeys(PEERS, ACCEPTED._replace(version=7))
    await entry.ask()
    assert entry.versions == [7]


# Guards against a request that is passed on to an entry with an older configuration
# than the one by which callers have been answered here.
async def test_request_names_the_version_that_callers_have_seen(entry):
    entry.own = REFUSED
    entry.least_version = 7
    await entry.ask()
    assert entry.link.least_versions == [7]


# Guards against requests held until their deadline by an entry that knows that it is
# cut off.
async def test_entry_without_contact_passes_requests_on_at_once(entry):
    entry.own = None
    entry.lose_contact()
    answer, seconds = await entry.ask()
    assert answer == ACCEPTED
    assert seconds < 0.1


# Guards against a write that fell silent and holds its caller until the deadline.
async def test_request_in_flight_is_passed_on_when_contact_is_lost(entry):
    entry.own = None
    answer, seconds = await entry.ask()
    assert answer == ACCEPTED
    assert entry.unsent_refused == 1
    assert seconds < STORE_SILENT_S + 0.5


# Guards against a refusal held back: nobody reaches the store.
async def test_request_that_nobody_can_serve_is_refused_at_once(entry):
    entry.link.entries.update(dict.fromkeys(PEERS, REFUSED))
    entry.own = REFUSED
    entry.lose_contact()
    answer, seconds = await entry.ask()
    assert answer == REFUSED
    assert seconds < 0.1
    assert len(entry.link.asked) == MAX_RELAYS
    await entry.ask()
    assert len(entry.link.asked) == MAX_RELAYS


@pytest.mark.parametrize("cut", range(6))
async def test_most_requests_are_served_while_a_third_of_the_entries_is_cut(entry, cut):
    entry.link.entries.update(dict.fromkeys(PEERS[cut : cut + 3], REFUSED))
    entry.own = REFUSED
    entry.lose_contact()
    served = 0
    for number in range(40):
        request = REQUEST._replace(path=f"/a/{number:016x}")
        served += (await entry.ask(request))[0] == ACCEPTED
        await entry.clock.advance(1.0)
        entry.lose_contact()
    assert served >= 38


# A refusal must be true: an entry that did not answer may have stored the job.
async def test_request_is_not_refused_after_an_entry_did_not_answer(entry):
    entry.link.entries.update(dict.fromkeys(PEERS, REFUSED))
    first = entry.relay.candidates(REQUEST.path)[0]
    entry.link.entries[first] = PeerTimeoutError("silent")
    entry.own = REFUSED
    entry.lose_contact()
    with pytest.raises(UnsettledError):
        await entry.ask()


async def test_request_that_reached_no_entry_is_refused(entry):
    entry.link.entries.update(dict.fromkeys(PEERS, PeerUnavailableError("down")))
    entry.own = REFUSED
    entry.lose_contact()
    assert (await entry.ask())[0] == REFUSED


async def test_entry_that_did_not_answer_is_asked_last(entry):
    entry.own = REFUSED
    first = entry.relay.candidates(REQUEST.path)[0]
    entry.link.entries[first] = PeerTimeoutError("silent")
    assert (await entry.ask())[0] == ACCEPTED
    assert (await entry.ask())[0] == ACCEPTED
    assert entry.link.asked.count(first) == 1


NOT_SERVED = CallerAnswer(429, b"{}", 5.0)
UNSETTLED = CallerAnswer(504, b"{}", 1.0)
GONE = CallerAnswer(410, b"{}")
CANCEL = REQUEST._replace(method="DELETE")


# Guards against a refusal by another entry of a job that a write under way here stores.
async def test_refusal_elsewhere_does_not_outweigh_a_write_under_way_here(entry):
    entry.link.entries.update(dict.fromkeys(PEERS, NOT_SERVED))
    entry.own = None
    entry.open = True
    assert (await entry.ask())[0].status == UNSETTLED.status
    assert entry.link.open == [True]


# An earlier attempt of the same request may have left a write behind.
async def test_refusal_elsewhere_does_not_outweigh_an_earlier_write_here(entry):
    entry.link.entries.update(dict.fromkeys(PEERS, NOT_SERVED))
    entry.own = UNSETTLED
    entry.open = True
    entry.lose_contact()
    assert (await entry.ask())[0] == UNSETTLED
    assert entry.link.open == [True]


# Guards against a refusal by the second entry of a job that the first one stores.
@pytest.mark.parametrize("first", [PeerTimeoutError("silent"), UNSETTLED])
@pytest.mark.parametrize("then", [NOT_SERVED, CallerAnswer(404, b"{}"), REFUSED])
async def test_refusal_does_not_outweigh_an_entry_asked_before(entry, first, then):
    entry.link.entries.update(dict.fromkeys(PEERS, then))
    entry.link.entries[entry.relay.candidates(REQUEST.path)[0]] = first
    entry.own = REFUSED
    with pytest.raises(UnsettledError):
        await entry.ask()
    assert entry.link.open[:2] == [False, True]


# The job exists, or never will, whatever becomes of the other attempts.
@pytest.mark.parametrize("answer", [ACCEPTED, GONE])
async def test_answer_on_record_outweighs_an_open_attempt(entry, answer):
    entry.link.entries.update(dict.fromkeys(PEERS, answer))
    entry.link.entries[entry.relay.candidates(REQUEST.path)[0]] = UNSETTLED
    entry.own = None
    entry.open = True
    assert (await entry.ask())[0] == answer


async def test_refusal_elsewhere_holds_where_nothing_is_open(entry):
    entry.link.entries.update(dict.fromkeys(PEERS, NOT_SERVED))
    entry.own = REFUSED
    assert (await entry.ask())[0] == NOT_SERVED


# Guards against a job that is stored for a caller who has left and cancelled it.
async def test_request_of_a_caller_who_has_left_is_not_passed_on(entry):
    entry.own = REFUSED
    entry.abandoned = True
    assert (await entry.ask())[0] == REFUSED
    assert entry.link.asked == []


async def test_cancel_of_a_caller_who_has_left_is_passed_on(entry):
    entry.own = REFUSED
    entry.abandoned = True
    assert (await entry.ask(CANCEL))[0] == ACCEPTED


# Guards against a request without time left that keeps others from being passed on.
async def test_request_without_time_left_does_not_keep_others_here(entry):
    entry.own = None
    entry.contact_s = float("inf")
    answer, _ = await entry.ask()
    assert answer == UNSETTLED
    entry.own = REFUSED
    assert (await entry.ask())[0] == ACCEPTED


# Guards against "no such job" from an entry that does not know what is under way here.
async def test_job_stored_here_is_not_missed_by_a_read_elsewhere(entry):
    entry.link.entries.update(dict.fromkeys(PEERS, GONE))
    entry.own = REFUSED
    entry.open = True
    assert (await entry.ask(REQUEST._replace(method="GET")))[0] == REFUSED
    entry.open = False
    assert (await entry.ask(REQUEST._replace(method="GET")))[0] == GONE
