from collections import Counter

import pytest
from burdockthread_peers.static_permits import StaticPermits
from burdockthread_routing.endpoint_choice import EndpointChooser

SLOTS = 8


@pytest.fixture
def chooser(clock):
    permits = StaticPermits("entry-1", ["entry-1"], lambda service: SLOTS)
    return EndpointChooser("here", permits, clock, "region", seed=1)


@pytest.fixture
def endpoints(endpoint_named):
    near = [endpoint_named(f"near-{n}") for n in range(2)]
    middle = [endpoint_named(f"middle-{n}", "there") for n in range(2)]
    far = [endpoint_named(f"far-{n}", "away", "elsewhere") for n in range(2)]
    return near + middle + far


def take(chooser, endpoints, count, avoided=()):
    taken = [chooser.acquire("svc", endpoints, avoided) for _ in range(count)]
    return Counter(e and e.vm.split("-")[0] for e in taken)


def test_the_nearest_endpoints_are_filled_first(chooser, endpoints):
    assert take(chooser, endpoints, 12) == {"near": 12}
    assert take(chooser, endpoints, 12) == {"middle": 12}
    assert take(chooser, endpoints, 12) == {"far": 12}
    assert take(chooser, endpoints, 13) == {"near": 4, "middle": 4, "far": 4, None: 1}
    assert max(chooser.outstanding.values()) == SLOTS


def test_a_tried_endpoint_is_used_only_when_no_other_has_a_slot(chooser, endpoints):
    pair = endpoints[:2]
    for _ in range(SLOTS):
        assert chooser.acquire("svc", pair, {"near-0"}).vm == "near-1"
    assert chooser.acquire("svc", pair, {"near-0"}).vm == "near-0"


def test_load_is_spread_over_equal_endpoints(chooser, endpoints):
    take(chooser, endpoints[:2], 10)
    assert max(chooser.outstanding.values()) - min(chooser.outstanding.values()) <= 2


def test_no_endpoint_exceeds_its_connection_limit(chooser, endpoints):
    chooser.connections = 3
    assert take(chooser, endpoints[:2], 8) == {"near": 6, None: 2}
    assert set(chooser.outstanding.values()) == {3}


def fail(chooser, vm, times=5):
    return [chooser.outliers.failed(vm) for _ in range(times)]


def test_an_endpoint_that_fails_fast_is_not_chosen(chooser, endpoints, clock):
    assert fail(chooser, "near-0") == [False] * 4 + [True]
    taken = [chooser.acquire("svc", endpoints, ()) for _ in range(20)]
    assert "near-0" not in {e.vm for e in taken}


async def test_an_ejected_endpoint_is_probed_once_a_second(chooser, endpoints, clock):
    three = endpoints[:3]
    fail(chooser, "near-0")
    await clock.advance(5.1)
    taken = [chooser.acquire("svc", three, ()) for _ in range(16)]
    assert [e.vm for e in taken].count("near-0") == 1
    assert chooser.outliers.failed("near-0")
    await clock.advance(5.1)
    assert chooser.outliers.is_ejected("near-0")
    await clock.advance(5.0)
    assert not chooser.outliers.is_ejected("near-0")
    chooser.outliers.succeeded("near-0")
    assert chooser.outliers.allowed(three) == three


def test_a_service_whose_endpoints_all_fail_keeps_most_of_them(chooser, endpoints):
    for endpoint in endpoints:
        fail(chooser, endpoint.vm)
    assert len(chooser.outliers.allowed(endpoints)) == 4
    assert len(chooser.outliers.allowed(endpoints[:1])) == 1


def test_a_success_resets_the_failure_count(chooser):
    fail(chooser, "near-0", 4)
    chooser.outliers.succeeded("near-0")
    assert fail(chooser, "near-0") == [False] * 4 + [True]
