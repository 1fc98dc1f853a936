from burdockthread_fleet.absence import LOST_AFTER_S, MAX_LIST_AGE_S, Absence
from burdockthread_fleet.memory_fleet import rack_listings
from burdockthread_model.vm import VmRecord, VmState

VMS = {listing.name: listing for listing in rack_listings(("z",), 4)}
RECORDS = {name: VmRecord(name, "o/p", VmState.SERVING, 1) for name in VMS}
ONE = next(iter(VMS))


async def read_for(absence, clock, listings, seconds):
    """Reads a list once a second for some time."""
    for _ in range(int(seconds)):
        absence.update(dict(listings), RECORDS)
        await clock.advance(1)


async def test_missing_vm_is_lost_only_after_long(clock):
    absence = Absence(clock)
    shorter = {name: v for name, v in VMS.items() if name != ONE}
    await read_for(absence, clock, shorter, LOST_AFTER_S - 1)
    assert not absence.missing_for(LOST_AFTER_S)
    await read_for(absence, clock, shorter, 2)
    assert absence.missing_for(LOST_AFTER_S) == {ONE}
    await read_for(absence, clock, VMS, 1)
    assert not absence.missing_for(0)


async def test_list_that_lacks_most_vms_is_not_believed(clock):
    absence = Absence(clock)
    await read_for(absence, clock, {ONE: VMS[ONE]}, LOST_AFTER_S + 1)
    assert not absence.missing_for(0)


async def test_old_list_says_nothing(clock):
    absence = Absence(clock)
    shorter = {name: v for name, v in VMS.items() if name != ONE}
    await read_for(absence, clock, shorter, 5)
    await clock.advance(MAX_LIST_AGE_S + 1)
    absence.update(absence.last, RECORDS)
    assert not absence.fresh()
    assert not absence.missing_for(0)
