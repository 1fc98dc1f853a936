"""The stored record of the workers on which runs of a pool may exist.

A holder of the pool names there each worker before it sends it a task, so that the next
holder knows which workers have to answer it before their runs count as known.
"""

import asyncio
from contextlib import suppress
from typing import NamedTuple

from burdockthread_model.errors import (
    ConflictError,
    PeerEndedError,
    PeerUnavailableError,
    StoreError,
)
from burdockthread_store.store import ANY_REVISION, Change

from burdockthread_scheduling.duties import LEASE_GRACE_S
from burdockthread_scheduling.entry_lease import LEASE_TTL_S
from burdockthread_scheduling.pool_core import PoolCore
from burdockthread_scheduling.records import decode, encode
from burdockthread_scheduling.worker_state import lease_bound_s
from burdockthread_scheduling.workers import WorkerKey

ASSIGN_INTERVAL_S = 0.5
RETRY_S = 0.1
RELEASE_RETRY_S = 0.2


class EarlierHolder(NamedTuple):
    """An earlier holder of the pool, which may not know yet that it was replaced.

    Attributes:
        address: Address of the holder for other entries.
        process: Id of the holder's process.
    """

    address: str
    process: str


class AssignedWorkers(NamedTuple):
    """Workers on which runs of a pool may exist, kept at ``assigned/<pool>``.

    Attributes:
        workers: The workers.
        address: Address of the holder for other entries.
        process: Id of the holder's process.
        released: Whether the holder has sent its last order.
        earlier: Earlier holders that may still send orders.
    """

    workers: tuple[WorkerKey, ...]
    address: str
    process: str
    released: bool
    earlier: tuple[EarlierHolder, ...] = ()


class WorkerAssignment:
    """Keeps the record of a pool, and what it says of earlier holders.

    Attributes:
        lease_bound_s: Seconds after which any lease that a worker granted has expired.
        unreached: Workers of earlier holders that have not answered this holder;
            runs of earlier holders may exist there until the given clock time.
        read_s: Clock time at which these workers were read.
        earlier: Earlier holders that may still send orders to unreached workers.
        silent_s: Clock time from which no earlier holder sends an order.
        assigned: Workers that the stored record names as possibly having runs.
        assigned_dirty: Whether the record names more workers than it has to.
    """

    def __init__(self, core: PoolCore) -> None:
        self.core = core
        self.clock = core.clock
        self.log = core.log
        self.lease_bound_s = lease_bound_s(core.parts.max_lease_s)
        self.unreached: dict[WorkerKey, float] = {}
        self.read_s = core.clock.now()
        self.earlier: set[EarlierHolder] = set()
        self.silent_s = float("inf")
        self.assigned: set[WorkerKey] = set()
        self.assigned_dirty = True
        self.assigned_s = float("-inf")
        self.assigning = False
        self.writing = asyncio.Lock()

    async def read_assigned(self) -> AssignedWorkers | None:
        """Returns the workers on which runs of earlier holders may exist, if any.

        Raises:
            StoreError: The store did not answer.
            RecordError: The record is malformed.
        """
        found = await self.core.parts.store.get(f"assigned/{self.core.pool}")
        return None if found is None else decode(found.value, AssignedWorkers)

    def expect(self, left: AssignedWorkers) -> None:
        """Records the workers of earlier holders, which have to answer this holder.

        For each earlier holder that may still be active, starts a task that asks
        for its release.
        """
        self.earlier = {EarlierHolder(*holder) for holder in left.earlier}
        if not left.released:
            self.earlier.add(EarlierHolder(left.address, left.process))
        # This process sends orders only under its present term.
        own = self.core.parts.process
        self.earlier = {holder for holder in self.earlier if holder.process != own}
        self.read_s = self.clock.now()
        self.silent_s = self.read_s + (self.grace_s() if self.earlier else 0.0)
        lapsed_s = self.silent_s + self.lease_bound_s
        for key in left.workers:
            self.unreached[WorkerKey(*key)] = lapsed_s
        for holder in self.earlier:
            self.core.spawn(self.request_release(holder))

    def grace_s(self) -> float:
        """Returns how long the last holder may have sent orders after this takeover.

        A holder that cannot renew its lease stops some time after the lease has ended.
        """
        lease_s = LEASE_TTL_S if self.core.tenure.replaces_record else 0.0
        return lease_s + LEASE_GRACE_S

    async def request_release(self, holder: EarlierHolder) -> None:
        """Asks an earlier holder to send no more orders, until it confirms.

        An answer with another process id comes from a restarted entry; the holder's
        process has then ended, as it has if no process listens at its address.
        """
        parts, core = self.core.parts, self.core
        while self.unreached:
            try:
                fence = core.tenure.fence
                process = await parts.release(holder.address, core.pool, fence)
            except PeerEndedError:
                process = ""
            except PeerUnavailableError:
                await self.clock.sleep(RELEASE_RETRY_S)
                continue
            self.log.info(
                "predecessor_silent",
                pool=core.pool,
                address=holder.address,
                restarted=process != holder.process,
            )
            self.earlier.discard(holder)
            if not self.earlier:
                self.on_silent()
            return
        self.earlier.discard(holder)

    def on_silent(self) -> None:
        """Shortens the wait for workers once no earlier holder sends orders."""
        self.silent_s = min(self.silent_s, self.clock.now())
        lapsed_s = self.silent_s + self.lease_bound_s
        for key, until_s in self.unreached.items():
            self.unreached[key] = min(until_s, lapsed_s)

    def apply_gone(self, worker_ids: tuple[str, ...]) -> None:
        """Forgets the unreached workers that no machine runs; their runs have ended."""
        for key in tuple(self.unreached):
            if key.worker_id in worker_ids:
                del self.unreached[key]
                self.log.info("unreached_worker_gone", worker=key.worker_id)
                self.core.wake.set()

    def assign(self) -> None:
        """Starts a write of the workers that may get orders, if the record is stale.

        A worker gets no task before the record names it.
        """
        now = self.clock.now()
        living = {
            key
            for key, worker in self.core.workers.items()
            if worker.placements or not worker.replaced
        }
        missing = living - self.assigned
        stale = self.assigned_dirty and now - self.assigned_s >= ASSIGN_INTERVAL_S
        if (missing or stale) and not self.assigning:
            self.assigning = True
            self.core.spawn(self.record_assigned(living))

    async def record_assigned(self, workers: set[WorkerKey]) -> None:
        """Writes the workers that may get orders; on failure waits `RETRY_S`."""
        self.assigned_dirty = False
        try:
            await self.write_assigned(workers, released=False)
        except (StoreError, ConflictError) as error:
            self.assigned_dirty = True
            # The stored record may name either set.
            self.assigned &= workers
            self.log.info("workers_not_assigned", pool=self.core.pool, reason=error)
            await self.clock.sleep(RETRY_S)
            return
        finally:
            self.assigning = False
        self.assigned = workers
        self.assigned_s = self.clock.now()
        self.core.wake.set()

    async def write_assigned(self, workers: set[WorkerKey], *, released: bool) -> None:
        """Writes the workers on which runs may exist; writes are serialised.

        Raises:
            ConflictError: This entry no longer holds the pool.
            StoreError: The store did not answer.
        """
        parts = self.core.parts
        kept = tuple(sorted(workers | self.unreached.keys()))
        earlier = tuple(sorted(self.earlier)) if self.unreached else ()
        record = AssignedWorkers(kept, parts.address, parts.process, released, earlier)
        change = Change(f"assigned/{self.core.pool}", encode(record), ANY_REVISION)
        async with self.writing:
            await parts.store.write([change], [self.core.tenure.guard])

    async def release(self) -> None:
        """Writes the workers that have runs, as the final record of this holder."""
        busy = {key for key, w in self.core.workers.items() if w.placements}
        with suppress(ConflictError):
            await self.write_assigned(busy, released=True)
