from burdockthread_fleet.pool_queue import UnplaceableSizes
from burdockthread_fleet.usage import Size


def test_a_known_miss_covers_what_is_no_smaller_and_no_more_urgent():
    misses = UnplaceableSizes()
    misses.add(1, Size(4.0, 2.0))
    assert misses.covers(1, Size(4.0, 2.0))
    assert misses.covers(2, Size(5.0, 2.0))
    assert not misses.covers(0, Size(9.0, 9.0))
    assert not misses.covers(1, Size(9.0, 1.0))


def test_only_the_smallest_misses_are_kept():
    misses = UnplaceableSizes()
    for size in (Size(4.0, 4.0), Size(2.0, 2.0), Size(1.0, 3.0)):
        misses.add(0, size)
    assert misses.sizes == {0: [Size(2.0, 2.0), Size(1.0, 3.0)]}
