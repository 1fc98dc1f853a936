from burdockthread_fleet.memory_fleet import rack_listings
from burdockthread_fleet.missing_vms import LOST_AFTER_S, MAX_LIST_AGE_S, MissingVms
from burdockthread_model.vm import VmRecord, VmState

VMS = {listing.name: listing for listing in rack_listings(("z",), 4)}
RECORDS = {name: VmRecord(name, "o/p", VmState.SERVING, 1) for name in VMS}
ONE = next(iter(VMS))


async def update_for(missing, clock, listings, seconds):
    """Passes a list to `update` once a second for some time."""
    for _ in range(int(seconds)):
        missing.update(dict(listings), RECORDS)
        await clock.advance(1)


async def test_vm_is_lost_only_after_the_full_time_missing(clock):
    missing = MissingVms(clock)
    shorter = {name: v for name, v in VMS.items() if name != ONE}
    await update_for(missing, clock, shorter, LOST_AFTER_S - 1)
    assert not missing.missing_for(LOST_AFTER_S)
    await update_for(missing, clock, shorter, 2)
    assert missing.missing_for(LOST_AFTER_S) == {ONE}
    await update_for(missing, clock, VMS, 1)
    assert not missing.missing_for(0)


async def test_list_that_lacks_most_vms_is_ignored(clock):
    missing = MissingVms(clock)
    await update_for(missing, clock, {ONE: VMS[ONE]}, LOST_AFTER_S + 1)
    assert not missing.missing_for(0)


async def test_no_vm_counts_as_missing_while_the_list_is_old(clock):
    missing = MissingVms(clock)
    shorter = {name: v for name, v in VMS.items() if name != ONE}
    await update_for(missing, clock, shorter, 5)
    await clock.advance(MAX_LIST_AGE_S + 1)
    missing.update(missing.last, RECORDS)
    assert not missing.fresh()
    assert not missing.missing_for(0)
