"""Fair shares and quotas of teams, and the guaranteed shares of classes."""

from collections.abc import Collection, Iterable, Mapping

from burdockthread_model.intended import ServiceSpec, TeamSpec
from burdockthread_model.request import RequestClass

from burdockthread_fleet.usage import Size

DEFAULT_TEAM_WEIGHT = 1.0
DEFAULT_TEAM_SHARE = 0.5
DEFAULT_CLASS_MINIMA = {
    RequestClass.URGENT: 0.5,
    RequestClass.STANDARD: 0.2,
    RequestClass.DEFERRED: 0.1,
}
URGENCY = {request_class: rank for rank, request_class in enumerate(RequestClass)}


class TeamAccount:
    """What one team may use and uses.

    Attributes:
        weight: Share against the other teams.
        limit: Hard limit of the team.
        used: What its claimed jobs are taken to use.
        weighted_share: Its largest share of any resource, over its weight.
    """

    def __init__(self, weight: float, limit: Size) -> None:
        self.weight = weight
        self.limit = limit
        self.used = Size()
        self.weighted_share = 0.0

    def allows(self, size: Size) -> bool:
        """Returns whether a job of some size stays within the limit."""
        return self.used.plus(size).fits(self.limit)


class TeamAccounts:
    """Accounts of all teams of an organisation.

    The next job comes from the team whose largest share of any resource is the
    smallest for its weight. Taken job by job, that is weighted max-min fairness
    which leaves nothing idle that some team may still use. A team without a
    specification has weight 1 and may use half of the organisation's VMs.

    Attributes:
        total: What the VMs of the organisation have.
    """

    def __init__(self, specs: Iterable[TeamSpec], total: Size) -> None:
        self.total = total
        self.accounts = {
            spec.name: TeamAccount(
                spec.weight, Size(spec.cores, spec.memory_gb, total.accelerators)
            )
            for spec in specs
        }

    def account(self, team: str) -> TeamAccount:
        """Returns the account of a team."""
        found = self.accounts.get(team)
        if found is None:
            half = [whole * DEFAULT_TEAM_SHARE for whole in self.total]
            found = TeamAccount(DEFAULT_TEAM_WEIGHT, Size(*half))
            self.accounts[team] = found
        return found

    def charge(self, team: str, size: Size) -> None:
        """Counts what a claimed job of a team is taken to use."""
        account = self.account(team)
        account.used = account.used.plus(size)
        share = account.used.share_of(self.total)
        account.weighted_share = share / account.weight

    def next_team(self, teams: Iterable[str]) -> str:
        """Returns the team whose turn it is."""
        return min([(self.account(team).weighted_share, team) for team in teams])[1]


def class_minima(service: ServiceSpec | None) -> dict[RequestClass, float]:
    """Returns the guaranteed shares of a service's pool by class."""
    if service is None or not service.class_minima:
        return dict(DEFAULT_CLASS_MINIMA)
    return {RequestClass(name): share for name, share in service.class_minima}


def next_class(
    waiting: Collection[RequestClass],
    shares: Mapping[RequestClass, float],
    minima: Mapping[RequestClass, float],
) -> RequestClass:
    """Returns the class whose turn it is.

    Classes below their guaranteed share come first, so that none starves; else
    the most urgent one comes first.

    Args:
        waiting: Classes with waiting jobs.
        shares: Share of the pool that each class uses.
        minima: Guaranteed share of each class.
    """
    short = [c for c in waiting if shares.get(c, 0.0) < minima.get(c, 0.0)]
    return min(short or waiting, key=URGENCY.__getitem__)
