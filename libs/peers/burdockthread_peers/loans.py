"""Messages and records of slots lent by one entry to another."""

from collections import deque
from typing import NamedTuple

from burdockthread_model.clock import Clock

LOAN_S = 2.0
GROW_FIRST_S = 0.1
GROW_MAX_S = 0.8
MAX_ENDED = 1_000

Slot = tuple[str, str]


class SlotRow(NamedTuple):
    """What a borrower holds and wants of one endpoint.

    Attributes:
        service: Name of the service.
        endpoint: Name of the VM.
        keep: Slots lent that the borrower goes on using.
        want: Slots that it would like to be lent in all; at least `keep`.
    """

    service: str
    endpoint: str
    keep: int
    want: int


class AskSlots(NamedTuple):
    """Asks a lender for slots and gives back those not kept.

    Attributes:
        incarnation: The borrower's incarnation.
        number: Rises with each message of the borrower to this lender.
        rows: One row for each endpoint.
    """

    incarnation: str
    number: int
    rows: tuple[SlotRow, ...]


class SlotGrant(NamedTuple):
    """How many slots of one endpoint are lent now."""

    service: str
    endpoint: str
    slots: int


class LentSlots(NamedTuple):
    """Answer to `AskSlots`; the slots may be taken for `LOAN_S`.

    Endpoints of which nothing is kept or lent are left out.
    """

    grants: tuple[SlotGrant, ...]


class ListLoans(NamedTuple):
    """Asks what a process that has just started had lent before.

    Attributes:
        incarnation: The asker's incarnation.
    """

    incarnation: str


class Loans(NamedTuple):
    """What the sender still uses of the asker's slots; it takes no more."""

    grants: tuple[SlotGrant, ...]


class LentRecord(NamedTuple):
    """Slots lent to one borrower, reserved until a clock time."""

    slots: int
    reserved_until_s: float


class LenderBook:
    """What this entry has lent, by borrower and endpoint.

    A slot lent may be taken for `LOAN_S`, and its exchange may run on for the
    longest time of an exchange; only then does a silent borrower's slot return.

    Attributes:
        lent: Records by borrower.
        last_asked: Incarnation and number of each borrower's last message.
        ended: Incarnations that were replaced, newest last.
    """

    def __init__(self, clock: Clock, longest_exchange_s: float) -> None:
        self.clock = clock
        self.reserve_s = LOAN_S + longest_exchange_s
        self.lent: dict[str, dict[Slot, LentRecord]] = {}
        self.last_asked: dict[str, tuple[str, int]] = {}
        self.ended: deque[str] = deque(maxlen=MAX_ENDED)

    def lent_out(self, slot: Slot) -> int:
        """Returns how many slots of an endpoint may be in use elsewhere."""
        return sum(self.lent_to(borrower, slot) for borrower in self.lent)

    def lent_to(self, borrower: str, slot: Slot) -> int:
        """Returns how many slots of an endpoint one borrower may be using."""
        record = self.lent.get(borrower, {}).get(slot)
        if record is None or record.reserved_until_s <= self.clock.now():
            return 0
        return record.slots

    def record(self, borrower: str, slot: Slot, slots: int) -> None:
        """Notes what a borrower has now."""
        records = self.lent.setdefault(borrower, {})
        if slots:
            records[slot] = LentRecord(slots, self.clock.now() + self.reserve_s)
        else:
            records.pop(slot, None)

    def accept_process(self, borrower: str, incarnation: str) -> bool:
        """Returns whether a process is the newest of its name.

        What its predecessor had borrowed is free again: its connections to the
        endpoints ended with it.
        """
        if incarnation in self.ended:
            return False
        known, _ = self.last_asked.get(borrower, ("", 0))
        if known != incarnation:
            self.ended.append(known)
            self.lent.pop(borrower, None)
            self.last_asked[borrower] = (incarnation, 0)
        return True

    def accept_message(self, borrower: str, message: AskSlots) -> bool:
        """Returns whether a message is newer than all before."""
        if not self.accept_process(borrower, message.incarnation):
            return False
        _, number = self.last_asked[borrower]
        if message.number <= number:
            return False
        self.last_asked[borrower] = (message.incarnation, message.number)
        return True


class Loan(NamedTuple):
    """Slots borrowed, which may be taken until a time by both clocks."""

    slots: int
    until_s: float
    until_wall_s: float


class BorrowerBook:
    """What this entry has borrowed from one lender.

    Attributes:
        loans: Loans by endpoint.
        in_use: Borrowed slots in use, also beyond the end of their loan.
        number: Number of the last message to the lender.
        grow_at_s: Clock time from which more may be asked for.
        back_off_s: Time between two questions for more.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.loans: dict[Slot, Loan] = {}
        self.in_use: dict[Slot, int] = {}
        self.number = 0
        self.grow_at_s = float("-inf")
        self.back_off_s = GROW_FIRST_S

    def note_growth(self, grew: bool) -> None:
        """Waits longer before asking again where nothing was to be had."""
        self.back_off_s = min(self.back_off_s * 2, GROW_MAX_S)
        if grew:
            self.back_off_s = GROW_FIRST_S
        self.grow_at_s = self.clock.now() + self.back_off_s

    def row(self, slot: Slot, growth: int) -> SlotRow | None:
        """Returns what to tell the lender of an endpoint, or None if nothing.

        Args:
            slot: Service and endpoint.
            growth: Slots wanted beyond those in use.
        """
        used, usable = self.in_use.get(slot, 0), self.usable(slot)
        want = used + growth
        keep = max(used, min(usable, want))
        loan = self.loans.get(slot)
        may_grow = want > usable and self.clock.now() >= self.grow_at_s
        if loan is None:
            return SlotRow(*slot, keep, want) if growth and may_grow else None
        ends_soon = loan.until_s - self.clock.now() < LOAN_S / 2
        if ends_soon or keep < usable or (growth and may_grow):
            return SlotRow(*slot, keep, want if may_grow or not growth else keep)
        return None

    def usable(self, slot: Slot) -> int:
        """Returns how many slots of an endpoint may be taken by now."""
        loan = self.loans.get(slot)
        if loan is None or self.clock.now() >= loan.until_s:
            return 0
        return loan.slots if self.clock.wall() < loan.until_wall_s else 0

    def try_acquire(self, slot: Slot) -> bool:
        """Takes one slot if the loan allows."""
        used = self.in_use.get(slot, 0)
        if used >= self.usable(slot):
            return False
        self.in_use[slot] = used + 1
        return True

    def release(self, slot: Slot) -> bool:
        """Gives one slot back; returns whether one was in use."""
        used = self.in_use.get(slot, 0)
        if used > 1:
            self.in_use[slot] = used - 1
        else:
            self.in_use.pop(slot, None)
        return used > 0

    def reduce(self, slot: Slot, slots: int) -> None:
        """Gives up the part of a loan beyond a number of slots."""
        loan = self.loans.get(slot)
        if loan is not None and loan.slots > slots:
            self.loans[slot] = loan._replace(slots=slots)

    def drop(self, slot: Slot) -> None:
        """Forgets a loan."""
        self.loans.pop(slot, None)

    def take(self, grant: SlotGrant, sent_s: float, sent_wall_s: float) -> None:
        """Takes a loan over, counted from when it was asked for."""
        slot = (grant.service, grant.endpoint)
        if grant.slots:
            until_s, until_wall_s = sent_s + LOAN_S, sent_wall_s + LOAN_S
            self.loans[slot] = Loan(grant.slots, until_s, until_wall_s)
        else:
            self.loans.pop(slot, None)
