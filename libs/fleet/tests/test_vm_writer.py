from burdockthread_fleet.vm_writer import VMS_PER_TRANSACTION, VmUpdate, batches
from burdockthread_model.vm import VmRecord, VmState


async def test_new_generation_exceeds_that_of_a_record_just_deleted(fleet):
    writer = fleet.nodes[0].planner.writer
    generation = writer.next_generation()
    for extra in range(20):
        record = VmRecord("x", "o/a", VmState.SERVING, generation + extra)
        await writer.commit([VmUpdate("x", record)])
    await writer.commit([VmUpdate("x", None)])
    assert writer.next_generation() > record.generation


async def test_own_write_is_in_the_view_at_once(fleet):
    node = fleet.nodes[0]
    record = next(iter(fleet.records().values()))
    draining = record._replace(state=VmState.DRAINING)
    update = VmUpdate(record.name, draining, disrupts=record.pool)
    await node.planner.writer.commit([update])
    assert node.view.records[record.name] == draining
    await node.planner.writer.commit([VmUpdate(record.name, record)])


def test_updates_are_split_into_transactions():
    updates = [VmUpdate(str(number), None) for number in range(2 * VMS_PER_TRANSACTION)]
    sizes = [len(batch) for batch in batches([*updates, VmUpdate("x", None)])]
    assert sizes == [VMS_PER_TRANSACTION, VMS_PER_TRANSACTION, 1]
    assert list(batches([])) == [[]]
