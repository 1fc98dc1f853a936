import pytest
from burdockthread_fleet.quotas import (
    DEFAULT_CLASS_MINIMA,
    TeamAccounts,
    class_minima,
    next_class,
)
from burdockthread_fleet.usage import Size
from burdockthread_model.intended import ServiceSpec, TeamSpec
from burdockthread_model.request import RequestClass
from hypothesis import given
from hypothesis import strategies as st

TOTAL = Size(100.0, 400.0, 0.0)
URGENT, STANDARD, DEFERRED = RequestClass


def fill(accounts, demands):
    """Grants one core at a time in turn until nothing more may be granted."""
    granted = dict.fromkeys(demands, 0)
    one = Size(1.0, 1.0)
    while sum(granted.values()) < TOTAL.cores:
        teams = [
            team
            for team, wanted in demands.items()
            if granted[team] < wanted and accounts.account(team).allows(one)
        ]
        if not teams:
            break
        team = accounts.next_team(teams)
        accounts.charge(team, one)
        granted[team] += 1
    return granted


@given(
    st.dictionaries(
        st.sampled_from("abcdef"),
        st.tuples(st.integers(1, 4), st.integers(0, 120), st.integers(0, 120)),
        min_size=1,
    )
)
def test_shares_are_weighted_max_min_and_leave_nothing_idle(teams):
    specs = [TeamSpec(t, "org", w, cap, 400) for t, (w, cap, _) in teams.items()]
    demands = {team: wanted for team, (_, _, wanted) in teams.items()}
    granted = fill(TeamAccounts(specs, TOTAL), demands)
    bounds = {t: min(cap, wanted) for t, (_, cap, wanted) in teams.items()}
    assert sum(granted.values()) == min(TOTAL.cores, sum(bounds.values()))
    weights = {team: weight for team, (weight, _, _) in teams.items()}
    for team, cores in granted.items():
        assert cores <= bounds[team]
        if cores < bounds[team]:
            for other, more in granted.items():
                assert (more - 1) / weights[other] <= cores / weights[team]


def test_a_team_without_a_specification_may_use_half():
    accounts = TeamAccounts([], TOTAL)
    assert fill(accounts, {"new": 100}) == {"new": 50}


def test_minima_come_from_the_template_or_the_defaults():
    spec = ServiceSpec("org/a", "org", "org/a", class_minima=(("deferred", 0.3),))
    assert class_minima(spec) == {DEFERRED: 0.3}
    assert class_minima(None) == DEFAULT_CLASS_MINIMA


@pytest.mark.parametrize(
    ("shares", "expected"),
    [
        ({}, URGENT),
        ({URGENT: 0.6}, STANDARD),
        ({URGENT: 0.6, STANDARD: 0.3}, DEFERRED),
        ({URGENT: 0.6, STANDARD: 0.3, DEFERRED: 0.1}, URGENT),
        ({STANDARD: 1.0}, URGENT),
    ],
)
def test_the_class_below_its_minimum_comes_first(shares, expected):
    assert next_class(set(RequestClass), shares, DEFAULT_CLASS_MINIMA) is expected
