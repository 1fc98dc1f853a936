"""Keys of jobs that were cancelled while their pool had no holder."""

from burdockthread_model.errors import WriteLostError
from burdockthread_store.settled_store import SettledStore


class LosingStore(SettledStore):
    """A store that loses the first writes which remove keys.

    Attributes:
        losses: Number of these writes.
    """

    losses = 2

    async def write(self, changes, guards=()):
        if self.losses and any(change.value is None for change in changes):
            self.losses -= 1
            raise WriteLostError("the write was lost")
        return await super().write(changes, guards)


async def work_keys(site):
    listing = await site.memory.list("work/")
    return [item.key for item in listing.items]


async def test_keys_of_a_cancelled_job_are_removed_after_lost_writes(site):
    """They stayed until the next holder, since the removal was tried once."""
    job = await site.submit()
    await site.intake.cancel(job)
    store = LosingStore(site.faulty, "entry-1", site.clock, site.metrics)
    await site.holder(store=store)
    await site.pass_time(0.5)
    assert store.losses == 1
    assert await work_keys(site)
    await site.pass_time(3.0)
    assert not await work_keys(site)
