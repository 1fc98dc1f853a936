"""The budget of received bytes and the order in which connections are closed."""

from burdockthread_http.received_bytes import (
    MIN_STALLED_S,
    PROGRESS_BYTES,
    ConnectionProgress,
    ReceivedBytes,
    closing_order,
)

NOW_S = 100.0


def holder(budget, size, stalled_s, **fields):
    found = ConnectionProgress(NOW_S - stalled_s)
    for name, value in fields.items():
        setattr(found, name, value)
    budget.hold(found, size)
    return found


def test_budget_is_a_twelfth_of_the_memory():
    assert ReceivedBytes.of_memory(300).limit == 25_000_000
    assert ReceivedBytes.of_memory(0).limit == ReceivedBytes.of_memory(200).limit


def test_held_bytes_are_counted_over_all_connections_and_released():
    budget = ReceivedBytes(100)
    one, other = holder(budget, 40, 0.0), holder(budget, 50, 0.0)
    assert budget.used == 90
    assert budget.fits(10)
    assert not budget.fits(11)
    assert not budget.fits(1, share=0.75)
    budget.hold(one, 10)
    budget.hold(other, 0)
    assert budget.used == 10
    assert budget.holders == {one}


def test_least_progress_is_closed_first():
    budget = ReceivedBytes(100)
    recent = holder(budget, 40, 1.0)
    stalled = holder(budget, 20, 5.0)
    asking = holder(budget, 40, 9.0)
    assert budget.to_close(asking, 1, NOW_S) == [stalled]
    assert budget.to_close(asking, 30, NOW_S) == [stalled, recent]


# Guards against a refusal of a request that may have run.
def test_connection_whose_request_may_have_run_is_never_closed():
    budget = ReceivedBytes(100)
    holder(budget, 90, 60.0, may_have_run=True)
    idle = holder(budget, 10, 1.0)
    asking = ConnectionProgress(NOW_S)
    assert budget.to_close(asking, 5, NOW_S) == [idle]
    assert budget.to_close(asking, 50, NOW_S) == []
    assert closing_order(budget.holders) == [idle]


# Guards against ordinary requests that are closed while they arrive.
def test_connection_with_recent_progress_is_not_closed():
    budget = ReceivedBytes(100)
    holder(budget, 100, MIN_STALLED_S / 2)
    assert budget.to_close(ConnectionProgress(NOW_S), 10, NOW_S) == []


# Guards against clients that stay ahead of the others with a byte now and then.
def test_single_bytes_are_no_progress():
    slow, steady = ConnectionProgress(0.0), ConnectionProgress(0.0)
    for second in range(1, 11):
        slow.receive(1, float(second))
        steady.receive(PROGRESS_BYTES, float(second))
    assert (slow.progress_s, steady.progress_s) == (0.0, 10.0)
    assert closing_order([steady, slow]) == [slow, steady]


def test_connections_without_an_answered_request_are_closed_before_served_ones():
    served, fresh = ConnectionProgress(1.0), ConnectionProgress(2.0)
    served.is_served = True
    assert closing_order([served, fresh]) == [fresh, served]
    served.held = 1
    assert closing_order([fresh, served]) == [served, fresh]


# Guards against sorting all connections for each packet while the budget is full.
def test_more_is_freed_than_asked_for():
    budget = ReceivedBytes(1_600)
    for _ in range(160):
        holder(budget, 10, 1.0)
    assert len(budget.to_close(ConnectionProgress(NOW_S), 10, NOW_S)) == 11
