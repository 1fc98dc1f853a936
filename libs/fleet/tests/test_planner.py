import asyncio

from burdockthread_fleet.budget import disruptions_key, read_disruptions
from burdockthread_fleet.memory_fleet import MemoryFleet, rack_listings
from burdockthread_model.errors import ConflictError, StoreUnknownError
from burdockthread_model.records import decode_record
from burdockthread_model.vm import VmRecord, VmState, VmStatus
from burdockthread_routing.fleet_view import VM_PREFIX
from burdockthread_store.memory_store import MemoryStore
from burdockthread_store.store import Change
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from .conftest import ZONES, make_due, small_template

POOLS = {
    "a": {"vms": 5, "min_available": 3},
    "b": {"vms": 4, "min_available": 1, "survives": "rack"},
    "s": {"vms": 4, "min_available": 0, "spare": True},
}


async def test_malformed_records_are_overwritten(fleet):
    node = fleet.nodes[0]
    keys = (disruptions_key("o/s"), "pool/o/t/wave")
    for key in keys:
        await fleet.store.write([Change(key, b"{", 0)])
    make_due(fleet)
    await fleet.run(3)
    assert read_disruptions(node.pool_cache, "o/s").vms
    assert node.metrics.counters["planner.drains"] == 1


async def test_repeated_conflicts_cause_few_refreshes(fleet):
    node = fleet.nodes[0]

    async def lose_race(changes, guards=()):
        raise ConflictError("lost")

    fleet.store.write = lose_race
    make_due(fleet)
    await fleet.run(20)
    assert node.metrics.counters["planner.conflicts"] >= 30
    assert node.metrics.counters["planner.refreshes"] <= 5


class FleetMachine(RuleBasedStateMachine):
    """Injects random faults and changes into a small fleet; checks invariants.

    The reference model is the platform's own list of VMs, with the pool and
    generation last assigned to each.
    """

    def __init__(self):
        super().__init__()
        self.fleet = MemoryFleet(rack_listings(ZONES, 13))
        self.fleet.add_node("first")
        self.fleet.add_node("second")
        self.removed = {}
        self.generations = {}
        self.loop = asyncio.new_event_loop()
        self.fleet.store.write = self.write
        self.fleet.accept(small_template(**POOLS))
        self.run(5)

    def run(self, seconds):
        self.loop.run_until_complete(self.fleet.run(seconds))

    def teardown(self):
        self.loop.close()

    def pick(self, names, index):
        names = sorted(names)
        return names[index % len(names)] if names else None

    @rule(seconds=st.sampled_from([1, 7, 40, 320]))
    def let_time_pass(self, seconds):
        self.run(seconds)

    @rule(index=st.integers(0, 20))
    def lose_vm(self, index):
        vm = self.pick(self.fleet.directory.listings, index)
        if vm and len(self.removed) < 4:
            self.removed[vm] = self.fleet.directory.listings.pop(vm)
            self.fleet.control.booting.pop(vm, None)

    @rule(index=st.integers(0, 20))
    def find_vm(self, index):
        vm = self.pick(self.removed, index)
        if vm:
            self.fleet.directory.listings[vm] = self.removed.pop(vm)._replace(
                status=VmStatus.LIVE, boot_id=f"found-{self.fleet.clock.now()}"
            )

    @rule(index=st.integers(0, 20))
    def crash_vm(self, index):
        vm = self.pick(self.fleet.directory.listings, index)
        if vm and vm not in self.fleet.control.booting:
            listing = self.fleet.directory.listings[vm]
            self.fleet.directory.listings[vm] = listing._replace(
                status=VmStatus.LIVE, boot_id=f"crash-{self.fleet.clock.now()}"
            )

    @rule(a=st.integers(3, 6), b=st.integers(1, 4))
    def resize(self, a, b):
        document = self.fleet.template.document
        pools = {name: dict(pool) for name, pool in document["pools"].items()}
        pools["a"]["vms"], pools["b"]["vms"] = a, b
        self.fleet.accept({**document, "pools": pools})

    @rule(due=st.booleans())
    def change_period(self, due):
        document = self.fleet.template.document
        maintenance = {**document["maintenance"], "period_days": 0.02 if due else 35.0}
        self.fleet.accept({**document, "maintenance": maintenance})

    @rule(index=st.integers(0, 1))
    def pause_planner(self, index):
        self.fleet.nodes[index].paused = not self.fleet.nodes[index].paused

    @rule()
    def store_outage(self):
        with self.fleet.store.outage():
            self.run(12)

    @rule()
    def lose_answers(self):
        write = self.fleet.store.write

        async def lossy(changes, guards=()):
            await write(changes, guards)
            raise StoreUnknownError("the answer was lost")

        self.fleet.store.write = lossy
        self.run(2)
        self.fleet.store.write = write

    @rule(index=st.integers(0, 20))
    def begin_work(self, index):
        listings = self.fleet.directory.listings.values()
        vm = self.pick([v.name for v in listings if v.status is VmStatus.LIVE], index)
        if vm:
            self.fleet.control.in_flight[vm] = 1

    @rule()
    def end_work(self):
        self.fleet.control.in_flight.clear()

    @rule(index=st.integers(0, 20))
    def get_stuck(self, index):
        vm = self.pick(self.fleet.directory.listings, index)
        if vm:
            self.fleet.control.stuck ^= {vm}

    @invariant()
    def records_agree_with_the_platform(self):
        control = self.fleet.control
        for record in self.stored_records():
            serving = record.state is VmState.SERVING
            if serving and record.name in self.fleet.directory.listings:
                assert control.pools[record.name] == record.pool
                assert control.generations[record.name] == record.generation

    @invariant()
    def generations_never_go_back(self):
        for name, generation in self.fleet.control.generations.items():
            assert generation >= self.generations.get(name, 0)
            self.generations[name] = generation

    @invariant()
    def no_boot_is_ended_twice_or_with_work(self):
        control = self.fleet.control
        assert len(control.reboots) == len(set(control.reboots))
        assert not control.cut

    async def write(self, changes, guards=()):
        """Writes, and checks every new disruption against the platform's own state."""
        written = {
            change.key.removeprefix(VM_PREFIX): decode_record(change.value, VmRecord)
            for change in changes
            if change.key.startswith(VM_PREFIX) and change.value
        }
        revision = await MemoryStore.write(self.fleet.store, changes, guards)
        for record in written.values():
            if record.state is VmState.DRAINING:
                self.check_budget(record.pool)
        return revision

    def check_budget(self, pool):
        """Checks that a pool keeps its minimum if its largest domain fails now."""
        spec = self.fleet.nodes[0].view.pools.get(pool)
        if spec is None:
            return
        listings = self.fleet.directory.listings
        left = [
            listings[record.name]
            for record in self.stored_records()
            if record.pool == pool
            and record.state is VmState.SERVING
            and record.name in listings
            and listings[record.name].status is VmStatus.LIVE
            and listings[record.name].boot_id == record.boot_id
        ]
        for failed in left:
            domain = (failed.name if spec.survives == "vm" else failed.rack,)
            lost = sum(
                (v.name if spec.survives == "vm" else v.rack,) == domain for v in left
            )
            assert len(left) - lost >= spec.min_available

    def stored_records(self):
        values = self.fleet.store.values.items()
        return [
            decode_record(found.value, VmRecord)
            for key, found in values
            if key.startswith(VM_PREFIX)
        ]


FleetMachine.TestCase.settings = settings(max_examples=20, stateful_step_count=15)
TestFleetMachine = FleetMachine.TestCase
