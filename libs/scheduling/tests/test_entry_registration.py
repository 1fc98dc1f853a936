"""The record by which the other entries find an entry."""

from burdockthread_scheduling.entry_lease import LEASE_TTL_S
from burdockthread_scheduling.records import EntryRecord, encode, entry_key
from burdockthread_store.store import ANY_REVISION, Change


def entries_that_find(entries, name):
    """Names of the entries whose copy has the present record of an entry."""
    registration = entries.duties[name].registration
    return {
        found
        for found, duties in entries.duties.items()
        if duties.directory.entries.get(name) == registration.record()
    }


async def test_entry_whose_first_record_was_lost_is_registered_again(entries):
    """A lost write left an entry that nobody could call, with all its duties."""
    duties = entries.add("four")
    entries.stores["four"].faults.drop_next_request()
    await entries.pass_time(3.0)
    assert duties.lease.remaining_s() > 0
    assert entries_that_find(entries, "four") == set(entries.duties)


async def test_record_that_conflicts_with_another_write_is_written_again(entries):
    """A conflict ended the registration as a lost write did."""
    duties = entries.add("four")
    late = encode(EntryRecord("zone-a", 1.0, "earlier", "four:9"))
    change = Change(entry_key("four"), late, ANY_REVISION)
    write = duties.store.write

    async def write_after_another(changes, guards=()):
        duties.store.write = write
        await entries.memory.write([change])
        return await write(changes, guards)

    duties.store.write = write_after_another
    await entries.pass_time(3.0)
    assert entries_that_find(entries, "four") == set(entries.duties)


async def test_record_that_another_process_replaces_is_restored(entries):
    """A late write of an earlier process hid the entry until its lease was lost."""
    late = encode(EntryRecord("zone-a", 1.0, "earlier", "one:9"))
    await entries.memory.write([Change(entry_key("one"), late, ANY_REVISION)])
    await entries.pass_time(1.0)
    assert entries_that_find(entries, "one") == set(entries.duties)


async def test_record_that_was_removed_is_written_again(entries):
    """The lease of an earlier process took the record of this one with it."""
    await entries.memory.write([Change(entry_key("one"), None, ANY_REVISION)])
    await entries.pass_time(1.0)
    assert entries_that_find(entries, "one") == set(entries.duties)


async def test_lost_records_do_not_delay_the_renewals(entries):
    """Settling a lost write takes as long as the lease."""
    duties = entries.add("four")
    await entries.pass_time(0.2)
    term = duties.lease.term
    entries.stores["four"].faults.drop_requests = 60
    await entries.memory.write([Change(entry_key("four"), None, ANY_REVISION)])
    await entries.pass_time(2 * LEASE_TTL_S)
    assert duties.lease.term == term
    assert duties.lease.remaining_s() > 0


async def test_record_in_the_store_is_not_written_again(entries):
    """The followed copy lags behind the write that it has to show."""
    revision = entries.duties["one"].registration.written_revision
    await entries.pass_time(5.0)
    assert entries.duties["one"].registration.written_revision == revision
