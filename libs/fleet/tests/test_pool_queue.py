from burdockthread_fleet.pool_queue import UnplaceableSizes
from burdockthread_fleet.usage import Size


def test_an_unplaceable_size_covers_jobs_no_smaller_and_no_more_urgent():
    unplaceable = UnplaceableSizes()
    unplaceable.add(1, Size(4.0, 2.0))
    assert unplaceable.covers(1, Size(4.0, 2.0))
    assert unplaceable.covers(2, Size(5.0, 2.0))
    assert not unplaceable.covers(0, Size(9.0, 9.0))
    assert not unplaceable.covers(1, Size(9.0, 1.0))


def test_only_the_smallest_unplaceable_sizes_are_kept():
    unplaceable = UnplaceableSizes()
    for size in (Size(4.0, 4.0), Size(2.0, 2.0), Size(1.0, 3.0)):
        unplaceable.add(0, size)
    assert unplaceable.sizes == {0: [Size(2.0, 2.0), Size(1.0, 3.0)]}
