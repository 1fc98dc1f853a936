"""Messages about slots that one entry lends to another, and records of loans."""

from collections import deque
from typing import NamedTuple

from burdockthread_model.clock import Clock

LOAN_S = 2.0
BACKOFF_MIN_S = 0.1
BACKOFF_MAX_S = 0.8
MAX_REPLACED = 1_000

Slot = tuple[str, str]


class SlotRow(NamedTuple):
    """Slots of one endpoint that a borrower holds and wants.

    Attributes:
        service: Name of the service.
        endpoint: Name of the VM.
        keep: Lent slots that the borrower keeps.
        want: Total of lent slots that the borrower wants; at least `keep`.
    """

    service: str
    endpoint: str
    keep: int
    want: int


class AskSlots(NamedTuple):
    """Requests slots from a lender and returns those not kept.

    Attributes:
        incarnation: The borrower's incarnation.
        number: Sequence number of the borrower's messages to this lender.
        rows: One row for each endpoint.
    """

    incarnation: str
    number: int
    rows: tuple[SlotRow, ...]


class SlotGrant(NamedTuple):
    """Total of slots of one endpoint that are lent to the receiver."""

    service: str
    endpoint: str
    slots: int


class LentSlots(NamedTuple):
    """Answer to `AskSlots`; the slots may be acquired for `LOAN_S`.

    Endpoints without kept or lent slots are omitted.
    """

    grants: tuple[SlotGrant, ...]


class ListLoans(NamedTuple):
    """Asks a borrower for its loans; sent by a lender that has just started.

    Attributes:
        incarnation: The lender's incarnation.
    """

    incarnation: str


class Loans(NamedTuple):
    """Answer to `ListLoans`: borrowed slots still in use; the loans have ended."""

    grants: tuple[SlotGrant, ...]


class LentRecord(NamedTuple):
    """Slots lent to one borrower, reserved until a clock time."""

    slots: int
    reserved_until_s: float


class LenderBook:
    """Slots that this entry has lent, by borrower and endpoint.

    A lent slot may be acquired for `LOAN_S`, and its request may then run for
    the longest duration of a request. Only after both does a lender get the
    slots of an unreachable borrower back.

    Attributes:
        reserve_s: Seconds after which a loan that was not renewed has ended.
        lent: Records by borrower.
        last_messages: Incarnation and number of each borrower's last message.
        replaced_incarnations: Incarnations that were replaced, newest last.
    """

    def __init__(self, clock: Clock, longest_exchange_s: float) -> None:
        self.clock = clock
        self.reserve_s = LOAN_S + longest_exchange_s
        self.lent: dict[str, dict[Slot, LentRecord]] = {}
        self.last_messages: dict[str, tuple[str, int]] = {}
        self.replaced_incarnations: deque[str] = deque(maxlen=MAX_REPLACED)

    def lent_out(self, slot: Slot) -> int:
        """Returns how many slots of an endpoint all borrowers may be using."""
        return sum(self.lent_to(borrower, slot) for borrower in self.lent)

    def lent_to(self, borrower: str, slot: Slot) -> int:
        """Returns how many slots of an endpoint one borrower may be using."""
        record = self.lent.get(borrower, {}).get(slot)
        if record is None or record.reserved_until_s <= self.clock.now():
            return 0
        return record.slots

    def record(self, borrower: str, slot: Slot, slots: int) -> None:
        """Records how many slots of an endpoint a borrower has; 0 ends its loan."""
        records = self.lent.setdefault(borrower, {})
        if slots:
            records[slot] = LentRecord(slots, self.clock.now() + self.reserve_s)
        else:
            records.pop(slot, None)

    def accept_process(self, borrower: str, incarnation: str) -> bool:
        """Returns whether a process is the newest of its name.

        The slots that its predecessor had borrowed are free again, because the
        predecessor's connections to the endpoints ended with the process.
        """
        if incarnation in self.replaced_incarnations:
            return False
        known, _ = self.last_messages.get(borrower, ("", 0))
        if known != incarnation:
            self.replaced_incarnations.append(known)
            self.lent.pop(borrower, None)
            self.last_messages[borrower] = (incarnation, 0)
        return True

    def accept_message(self, borrower: str, message: AskSlots) -> bool:
        """Returns whether a message is newer than all earlier ones of its sender."""
        if not self.accept_process(borrower, message.incarnation):
            return False
        _, number = self.last_messages[borrower]
        if message.number <= number:
            return False
        self.last_messages[borrower] = (message.incarnation, message.number)
        return True


class Loan(NamedTuple):
    """Borrowed slots, which may be acquired until they expire by either clock."""

    slots: int
    until_s: float
    until_wall_s: float


class BorrowerBook:
    """Slots that this entry has borrowed from one lender.

    Attributes:
        loans: Loans by endpoint.
        in_use: Borrowed slots in use, also after their loan has expired.
        number: Number of the last message to the lender.
        grow_at_s: Clock time from which more slots may be requested.
        backoff_s: Seconds between two requests for more slots.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.loans: dict[Slot, Loan] = {}
        self.in_use: dict[Slot, int] = {}
        self.number = 0
        self.grow_at_s = float("-inf")
        self.backoff_s = BACKOFF_MIN_S

    def update_backoff(self, grew: bool) -> None:
        """Sets the time of the next request for more slots.

        The backoff doubles up to `BACKOFF_MAX_S`, and returns to
        `BACKOFF_MIN_S` when the lender granted more slots.
        """
        self.backoff_s = min(self.backoff_s * 2, BACKOFF_MAX_S)
        if grew:
            self.backoff_s = BACKOFF_MIN_S
        self.grow_at_s = self.clock.now() + self.backoff_s

    def row(self, slot: Slot, growth: int) -> SlotRow | None:
        """Returns the row of an endpoint for the lender, or None if none is due.

        Args:
            slot: Service and endpoint.
            growth: Number of slots wanted beyond those in use.
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
        """Returns how many slots of an endpoint the loan allows; 0 once expired."""
        loan = self.loans.get(slot)
        if loan is None or self.clock.now() >= loan.until_s:
            return 0
        return loan.slots if self.clock.wall() < loan.until_wall_s else 0

    def try_acquire(self, slot: Slot) -> bool:
        """Acquires one slot if fewer than the loan allows are in use."""
        used = self.in_use.get(slot, 0)
        if used >= self.usable(slot):
            return False
        self.in_use[slot] = used + 1
        return True

    def release(self, slot: Slot) -> bool:
        """Releases one slot; returns whether one was in use."""
        used = self.in_use.get(slot, 0)
        if used > 1:
            self.in_use[slot] = used - 1
        else:
            self.in_use.pop(slot, None)
        return used > 0

    def reduce(self, slot: Slot, slots: int) -> None:
        """Reduces a loan to at most a number of slots."""
        loan = self.loans.get(slot)
        if loan is not None and loan.slots > slots:
            self.loans[slot] = loan._replace(slots=slots)

    def drop(self, slot: Slot) -> None:
        """Removes a loan."""
        self.loans.pop(slot, None)

    def accept_grant(self, grant: SlotGrant, sent_s: float, sent_wall_s: float) -> None:
        """Records a granted loan; it expires `LOAN_S` after the request was sent."""
        slot = (grant.service, grant.endpoint)
        if grant.slots:
            until_s, until_wall_s = sent_s + LOAN_S, sent_wall_s + LOAN_S
            self.loans[slot] = Loan(grant.slots, until_s, until_wall_s)
        else:
            self.loans.pop(slot, None)
