"""Writes the planner's VM records in fenced transactions of bounded size."""

from collections.abc import Iterator, Sequence
from typing import NamedTuple

from burdockthread_model.records import encode_record
from burdockthread_model.vm import VmRecord
from burdockthread_routing.fleet_view import VM_PREFIX
from burdockthread_store.prefix_cache import PrefixCache
from burdockthread_store.store import Change, KeyValue

from burdockthread_fleet.budget import DisruptionChanges
from burdockthread_fleet.leadership import Leadership

VMS_PER_TRANSACTION = 40
MAX_UPDATES_PER_STEP = 160


class VmUpdate(NamedTuple):
    """A VM record to write, with its effect on disruption records.

    Attributes:
        name: Name of the VM.
        record: New record, or None to delete it.
        disrupts: Pool whose disruption budget the VM starts to use, or empty.
        restores: Pool whose disruption budget the VM no longer uses, or empty.
    """

    name: str
    record: VmRecord | None
    disrupts: str = ""
    restores: str = ""


class VmWriter:
    """Writes records and applies them to this process's caches at once.

    Attributes:
        vm_cache: Cache of the VM records.
        pool_cache: Cache of the pools' records.
        written_revision: Revision of the last write.
    """

    def __init__(
        self, leadership: Leadership, vm_cache: PrefixCache, pool_cache: PrefixCache
    ) -> None:
        self.leadership = leadership
        self.vm_cache = vm_cache
        self.pool_cache = pool_cache
        self.written_revision = 1

    async def commit(
        self, updates: Sequence[VmUpdate], others: Sequence[Change] = ()
    ) -> None:
        """Writes updates, each with its disruption records in one transaction.

        Args:
            updates: VM records, split into transactions of `VMS_PER_TRANSACTION`.
            others: Changes of other pool keys, written in the first transaction.

        Raises:
            LeaseLostError: The lease is not held.
            ConflictError: A record was changed by another writer in the meantime;
                earlier transactions of this call remain.
            StoreError: The store did not answer.
        """
        for batch in batches(updates):
            disruptions = self.disruptions(batch)
            changes = [self.vm_change(update) for update in batch]
            await self.write([*changes, *disruptions.changes(), *others])
            others = ()

    def disruptions(self, updates: Sequence[VmUpdate]) -> DisruptionChanges:
        """Returns the changes of disruption records that belong to updates."""
        disruptions = DisruptionChanges(self.pool_cache)
        for update in updates:
            if update.disrupts:
                disruptions.disrupted_vms(update.disrupts).add(update.name)
            if update.restores:
                disruptions.disrupted_vms(update.restores).discard(update.name)
        return disruptions

    def vm_change(self, update: VmUpdate) -> Change:
        """Returns the conditional write of one VM record."""
        key = VM_PREFIX + update.name
        known = self.vm_cache.values.get(key)
        revision = 0 if known is None else known.revision
        value = None if update.record is None else encode_record(update.record)
        return Change(key, value, revision)

    async def write(self, changes: Sequence[Change]) -> None:
        """Writes one transaction and applies it to the caches."""
        revision = await self.leadership.write(changes)
        self.written_revision = max(self.written_revision, revision)
        for change in changes:
            self.apply_to_cache(change, revision)

    def apply_to_cache(self, change: Change, revision: int) -> None:
        """Applies a written change to its cache, before the watch reports it."""
        vm = change.key.startswith(VM_PREFIX)
        cache = self.vm_cache if vm else self.pool_cache
        if change.value is None:
            cache.remove(change.key, revision)
        else:
            cache.put(KeyValue(change.key, change.value, revision))

    def next_generation(self) -> int:
        """Returns a generation for a new record, above those of deleted records.

        A generation never exceeds the revision of the write that set it, and the
        deletion of its record has a later revision. The revision of the last own
        write is included, as the watch may not have reported that write yet.
        """
        known = (self.vm_cache.revision, self.leadership.revision)
        return max(*known, self.written_revision)


def batches(updates: Sequence[VmUpdate]) -> Iterator[Sequence[VmUpdate]]:
    """Splits updates into transactions; yields one empty batch for none."""
    for start in range(0, max(len(updates), 1), VMS_PER_TRANSACTION):
        yield updates[start : start + VMS_PER_TRANSACTION]
