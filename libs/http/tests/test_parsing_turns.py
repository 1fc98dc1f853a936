"""Shares of the processor by the cost of data, without a network.

Loads: many connections with data that costs much, and one with a request that has
arrived whole.
"""

import asyncio

import pytest
from burdockthread_http.parsing_turns import (
    HALF_LIFE_S,
    PART_COST,
    REQUEST_COST,
    TURN_COST,
    ParsedConnection,
    ParsingTurns,
    RecentCost,
)

CROWD = 100
PARTS_IN_TURN = TURN_COST // PART_COST


class Connection(ParsedConnection):
    """A connection with parts of one cost; its parts are recorded."""

    def __init__(self, turns, parsed, name, parts, cost):
        self.turns = turns
        self.parsed = parsed
        self.name = name
        self.parts = parts
        self.cost = cost
        self.recent_cost = RecentCost()

    def parse_next(self):
        if not self.parts:
            return 0
        self.parts -= 1
        self.parsed.append(self.name)
        if self.parts:
            self.turns.wait(self)
        return self.cost


@pytest.fixture
async def turns():
    return ParsingTurns()


@pytest.fixture
def parsed():
    """Names of the connections whose parts were parsed, in order."""
    return []


@pytest.fixture
def connect(turns, parsed):
    def connect(name, parts, cost=PART_COST):
        found = Connection(turns, parsed, name, parts, cost)
        turns.begin(found)
        return found

    return connect


async def test_data_in_calm_is_parsed_at_once(connect, parsed):
    connect("a", 1)
    assert parsed == ["a"]


async def test_one_iteration_parses_up_to_the_cost_of_a_turn(connect, parsed, turns):
    for number in range(CROWD):
        connect(number, 10)
    assert 1 <= len(parsed) <= PARTS_IN_TURN
    before = len(parsed)
    turns.take_turn()
    assert len(parsed) - before == PARTS_IN_TURN


# Guards against an ordinary request that waits for a part of every other connection.
@pytest.mark.parametrize("parts", [2, 1_000])
async def test_whole_request_waits_for_no_more_than_a_turn(
    connect, parsed, turns, parts
):
    for number in range(CROWD):
        connect(number, parts)
    for _ in range(CROWD):
        turns.take_turn()
    before = len(parsed)
    connect("ordinary", 1, REQUEST_COST)
    turns.take_turn()
    assert "ordinary" in parsed[before : before + PARTS_IN_TURN + 1]


async def test_many_whole_requests_are_taken_in_their_order(connect, parsed, turns):
    for number in range(CROWD):
        connect(number, 1_000)
    for _ in range(CROWD):
        turns.take_turn()
    del parsed[:]
    for number in range(40):
        connect(f"ordinary {number}", 1, REQUEST_COST)
    for _ in range(4):
        turns.take_turn()
    assert parsed[:40] == [f"ordinary {number}" for number in range(40)]


# Guards against requests sent in one piece that count as new connections each.
async def test_cost_of_earlier_requests_counts(connect, parsed, turns):
    pipelining = connect("pipelining", 500, REQUEST_COST)
    for _ in range(50):
        turns.take_turn()
    assert pipelining.recent_cost.cost > PART_COST
    for number in range(20):
        connect(number, 1, REQUEST_COST)
    del parsed[:]
    turns.take_turn()
    assert "pipelining" not in parsed


async def test_connection_has_one_part_in_a_turn(connect, parsed, turns):
    connect("a", 10, 1)
    connect("b", 10, 1)
    before = len(parsed)
    turns.take_turn()
    assert sorted(parsed[before:]) == ["a", "b"]


async def test_each_of_many_equal_connections_gets_its_share(connect, parsed, turns):
    for number in range(CROWD):
        connect(number, 1_000)
    for _ in range(5 * CROWD):
        turns.take_turn()
    shares = [parsed.count(number) for number in range(CROWD)]
    assert max(shares) - min(shares) <= 2


async def test_all_parts_are_parsed_in_the_end(connect, parsed, turns):
    for number in range(CROWD):
        connect(number, 7)
    for _ in range(7 * CROWD):
        await asyncio.sleep(0)
    assert sorted(parsed) == sorted(list(range(CROWD)) * 7)


def test_earlier_cost_counts_less():
    recent = RecentCost()
    recent.add(1_000, 0.0)
    assert recent.at(HALF_LIFE_S) == pytest.approx(500)
    recent.add(100, 2 * HALF_LIFE_S)
    assert recent.at(2 * HALF_LIFE_S) == pytest.approx(350)
