"""Slot permits as fixed shares, of which idle slots are lent to other entries."""

import asyncio
import itertools
from collections import Counter
from collections.abc import Callable, Sequence
from functools import lru_cache

from burdockthread_model.clock import Clock
from burdockthread_model.errors import PeerError

from burdockthread_peers.loans import (
    AskSlots,
    BorrowerBook,
    LenderBook,
    LentSlots,
    ListLoans,
    Loans,
    Slot,
    SlotGrant,
    SlotRow,
)
from burdockthread_peers.mesh import PeerMesh
from burdockthread_peers.permits import SlotPermits
from burdockthread_peers.rendezvous import score
from burdockthread_peers.static_permits import MAX_RANKED, StaticPermits

LONGEST_EXCHANGE_S = 600.0
ASK_INTERVAL_S = 0.2
CALL_TIMEOUT_S = 1.0
DEMAND_WINDOW_S = 1.0
GROWTH = 1
NEW_ROWS = 16
ROWS_PER_S = 100.0

EndpointNames = Callable[[str], Sequence[str]]


def always() -> bool:
    """Default of `may_use`: the share may always be used."""
    return True


@lru_cache(maxsize=MAX_RANKED)
def odd_slot(slot: Slot, lender: str) -> int:
    """Returns 1 for about half of the endpoints of a lender, otherwise 0.

    Depends only on the names, so the result is the same after a restart.
    """
    return score("/".join(slot), lender) % 2


class LentPermits(SlotPermits):
    """Lends idle slots of this entry's share and borrows from other shares.

    About half of a share is never lent, so that this entry can use that half at
    any time. The rest is lent for `LOAN_S` at a time to entries that were
    recently refused a slot. A lender counts lent slots as in use until the
    borrower returns them, or until the loan and the longest possible request
    have ended.

    Attributes:
        static: The fixed shares.
        own_in_use: Slots of this entry's own share in use.
        borrowed: Slots borrowed, by lender.
        book: Slots lent.
        unanswered: Entries that have not yet reported what they borrowed before
            this process started; until they have, no lendable slot is used.
        may_use: Returns whether this process holds the share of its name at
            present; otherwise it acquires, lends and requests no slots.
        recovered_s: Clock time from which no slot lent before this process
            started can still be in use.
        endpoint_cache: Endpoints by service, with the clock time of the look-up.
        demand_cache: Endpoints of the services in demand, with the clock time
            of the look-up and the names of the services.
        refusals: Number of consecutive refusals, by service.
        refused_s: Clock time at which all endpoints last refused, by service.
    """

    def __init__(
        self,
        mesh: PeerMesh,
        static: StaticPermits,
        endpoints: EndpointNames,
        incarnation: str,
        clock: Clock,
        longest_exchange_s: float = LONGEST_EXCHANGE_S,
        may_use: Callable[[], bool] = always,
    ) -> None:
        self.mesh = mesh
        self.may_use = may_use
        self.static = static
        self.endpoints = endpoints
        self.incarnation = incarnation
        self.clock = clock
        self.own_in_use: Counter[Slot] = Counter()
        self.book = LenderBook(clock, longest_exchange_s)
        others = [name for name in static.entries if name != static.name]
        self.borrowed = {name: BorrowerBook(clock) for name in others}
        self.unanswered = set(others)
        self.recovered_s = clock.now() + self.book.reserve_s
        self.endpoint_cache: dict[str, tuple[float, tuple[str, ...]]] = {}
        self.demand_cache: tuple[float, list[str], dict[Slot, None]]
        self.demand_cache = (float("-inf"), [], {})
        self.row_budget = ROWS_PER_S
        self.row_budget_s = clock.now()
        self.refusals: Counter[str] = Counter()
        self.refused_s: dict[str, float] = {}
        mesh.register(AskSlots, LentSlots, self.on_ask)
        mesh.register(ListLoans, Loans, self.on_list)

    def is_recovering(self) -> bool:
        """Returns whether slots lent before this process started may be in use.

        They may be until every other entry has reported its loans, or the
        longest loan and request have ended.
        """
        return bool(self.unanswered) and self.clock.now() < self.recovered_s

    def own_limit(self, slot: Slot) -> int:
        """Returns how many slots of its own share this entry may use."""
        share = self.static.limit(*slot)
        if self.is_recovering():
            return share - self.lendable(slot)
        return share - self.book.lent_out(slot)

    def lendable(self, slot: Slot) -> int:
        """Returns how many slots of its own share this entry may ever lend.

        At about half of the endpoints the odd slot may be lent. These are the
        same endpoints after a restart.
        """
        half, odd = divmod(self.static.limit(*slot), 2)
        return half + odd * odd_slot(slot, self.static.name)

    def limit(self, service: str, endpoint: str) -> int:
        """Returns the usable slots of the own share and of all loans."""
        if not self.may_use():
            return 0
        slot = (service, endpoint)
        borrowed = sum(book.usable(slot) for book in self.borrowed.values())
        return max(self.own_limit(slot), 0) + borrowed

    def try_acquire(self, service: str, endpoint: str) -> bool:
        """Acquires a slot of the own share or, if none is free, a borrowed one."""
        if not self.may_use():
            return False
        slot = (service, endpoint)
        if self.own_in_use[slot] < self.own_limit(slot):
            self.own_in_use[slot] += 1
        elif not any(book.try_acquire(slot) for book in self.borrowed.values()):
            self.record_refusal(service)
            return False
        self.refusals[service] = 0
        return True

    def record_refusal(self, service: str) -> None:
        """Counts a refusal.

        A service is in demand once it had as many consecutive refusals as it
        has endpoints.
        """
        self.refusals[service] += 1
        if self.refusals[service] >= len(self.endpoint_names(service)):
            self.refused_s[service] = self.clock.now()

    def release(self, service: str, endpoint: str) -> None:
        """Releases a borrowed slot if there is one, otherwise one of the own share.

        A slot beyond the own limit is released first.
        """
        slot = (service, endpoint)
        within_share = self.own_in_use[slot] <= self.own_limit(slot)
        if within_share and any(b.release(slot) for b in self.borrowed.values()):
            return
        if self.own_in_use[slot] > 0:
            self.own_in_use[slot] -= 1
            return
        any(book.release(slot) for book in self.borrowed.values())

    def endpoint_names(self, service: str) -> Sequence[str]:
        """Returns the endpoints of a service, cached for `ASK_INTERVAL_S`."""
        looked_up_s, names = self.endpoint_cache.get(service, (float("-inf"), ()))
        if self.clock.now() - looked_up_s >= ASK_INTERVAL_S:
            names = tuple(self.endpoints(service))
            self.endpoint_cache[service] = (self.clock.now(), names)
        return names

    def in_demand(self, service: str) -> bool:
        """Returns whether all endpoints of a service refused a slot recently."""
        refused_s = self.refused_s.get(service, float("-inf"))
        return self.clock.now() - refused_s < DEMAND_WINDOW_S

    async def run(self) -> None:
        """Requests slots from every other entry until cancelled."""
        async with asyncio.TaskGroup() as group:
            for lender in self.borrowed:
                group.create_task(self.borrow(lender))

    async def borrow(self, lender: str) -> None:
        """Recovers the loans to one entry, then requests slots from it, repeatedly."""
        while True:
            try:
                if self.may_use():
                    await self.recover(lender)
                    await self.ask(lender)
            except PeerError:
                pass
            await self.clock.sleep(ASK_INTERVAL_S)

    async def recover(self, borrower: str) -> None:
        """Fetches what an entry borrowed before this process started.

        Raises:
            PeerError: The entry did not answer.
        """
        if borrower not in self.unanswered:
            return
        message = ListLoans(self.incarnation)
        reply = await self.mesh.call(borrower, message, Loans, CALL_TIMEOUT_S)
        for grant in reply.grants:
            slot = (grant.service, grant.endpoint)
            self.book.record(borrower, slot, grant.slots)
        self.unanswered.discard(borrower)

    async def on_list(self, sender: str, message: ListLoans) -> Loans:
        """Ends the loans from a lender that has restarted; answers those in use."""
        self.book.accept_process(sender, message.incarnation)
        book = self.borrowed.get(sender)
        if book is None:
            return Loans(())
        book.loans.clear()
        book.number += 1
        return Loans(tuple(SlotGrant(*slot, n) for slot, n in book.in_use.items()))

    async def ask(self, lender: str) -> None:
        """Sends one entry the changes to its loans: more, renewed or returned slots.

        Raises:
            PeerError: The entry did not answer; returned slots are not used
                again all the same.
        """
        book = self.borrowed[lender]
        rows = self.rows(book)
        if not rows:
            return
        for row in rows:
            book.reduce((row.service, row.endpoint), row.keep)
        book.number += 1
        message = AskSlots(self.incarnation, book.number, rows)
        sent_s, sent_wall_s = self.clock.now(), self.clock.wall()
        reply = await self.mesh.call(lender, message, LentSlots, CALL_TIMEOUT_S)
        if book.number != message.number:
            return
        for row in rows:
            if not row.keep:
                book.drop((row.service, row.endpoint))
        for grant in reply.grants:
            book.accept_grant(grant, sent_s, sent_wall_s)
        if any(row.want > row.keep for row in rows):
            kept = sum(row.keep for row in rows)
            book.update_backoff(sum(grant.slots for grant in reply.grants) > kept)

    def rows(self, book: BorrowerBook) -> tuple[SlotRow, ...]:
        """Returns a row for each endpoint whose loan changes.

        Renewed and returned loans come before new ones. All lenders together
        are sent at most `ROWS_PER_S` rows per second.
        """
        may_grow = self.clock.now() >= book.grow_at_s
        if not (book.loans or may_grow):
            return ()
        wanted = self.wanted()
        held = [book.row(slot, GROWTH * (slot in wanted)) for slot in book.loans]
        new: list[SlotRow | None] = []
        if wanted and may_grow:
            first = book.number * NEW_ROWS % len(wanted)
            slots = list(wanted)
            rotated = itertools.chain(slots[first:], slots[:first])
            others = (slot for slot in rotated if slot not in book.loans)
            chosen = itertools.islice(others, NEW_ROWS)
            new = [book.row(slot, GROWTH) for slot in chosen]
        rows = [row for row in held + new if row is not None]
        return tuple(rows[: self.take_row_budget(len(rows))])

    def wanted(self) -> dict[Slot, None]:
        """Returns the endpoints of all services in demand, sorted.

        The list is shared by all lenders and cached for `ASK_INTERVAL_S`.
        """
        services = [name for name in self.refused_s if self.in_demand(name)]
        listed_s, listed_services, slots = self.demand_cache
        fresh = self.clock.now() - listed_s < ASK_INTERVAL_S
        if fresh and services == listed_services:
            return slots
        slots = dict.fromkeys(
            (service, endpoint)
            for service in sorted(services)
            for endpoint in sorted(self.endpoint_names(service))
        )
        self.demand_cache = (self.clock.now(), services, slots)
        return slots

    def take_row_budget(self, wanted: int) -> int:
        """Takes up to the given number of rows from the rate limit.

        Returns:
            How many rows may be sent at present; they are counted as sent.
        """
        now_s = self.clock.now()
        earned = (now_s - self.row_budget_s) * ROWS_PER_S
        self.row_budget = min(self.row_budget + earned, ROWS_PER_S)
        self.row_budget_s = now_s
        taken = min(wanted, int(self.row_budget))
        self.row_budget -= taken
        return taken

    async def on_ask(self, sender: str, message: AskSlots) -> LentSlots:
        """Lends idle slots and takes returned slots back.

        Grants nothing to an unknown sender, to one whose earlier loans are not
        yet known, for an outdated message, or without the share.
        """
        known = sender in self.borrowed and sender not in self.unanswered
        if not (known and self.may_use()) or not self.book.accept_message(
            sender, message
        ):
            return LentSlots(())
        grants = [(row, self.lend(sender, row)) for row in message.rows]
        return LentSlots(tuple(g for row, g in grants if g.slots or row.keep))

    def lend(self, borrower: str, row: SlotRow) -> SlotGrant:
        """Decides how many slots of one endpoint the borrower has from now on."""
        slot = (row.service, row.endpoint)
        held = self.book.lent_to(borrower, slot)
        kept = min(max(row.keep, 0), held)
        elsewhere = self.book.lent_out(slot) - held
        idle = self.static.limit(*slot) - self.own_in_use[slot] - elsewhere
        offered = min(row.want, idle, self.lendable(slot) - elsewhere)
        if self.is_recovering() or self.in_demand(row.service):
            offered = 0
        slots = max(kept, offered)
        self.book.record(borrower, slot, slots)
        return SlotGrant(row.service, row.endpoint, slots)
