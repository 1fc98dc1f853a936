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
    """Quota and usage of one team.

    Attributes:
        weight: Weight of the team relative to the other teams.
        limit: Hard limit of the team.
        used: Estimated usage of the team's claimed jobs.
        weighted_share: The team's largest share of any resource, divided by its
            weight.
    """

    def __init__(self, weight: float, limit: Size) -> None:
        self.weight = weight
        self.limit = limit
        self.used = Size()
        self.weighted_share = 0.0

    def allows(self, size: Size) -> bool:
        """Returns whether the team stays within its limit with one more job."""
        return self.used.plus(size).fits(self.limit)


class TeamAccounts:
    """Accounts of all teams of an organisation.

    The next job comes from the team with the smallest dominant share (its largest
    share of any resource) relative to its weight. Repeated for each job, this
    gives weighted max-min fairness and leaves no resource idle that some team may
    still use. A team without a specification has weight 1 and may use half of the
    organisation's VMs.

    Attributes:
        total: Capacity of all VMs of the organisation.
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
        """Returns the account of a team; creates a default one if needed."""
        found = self.accounts.get(team)
        if found is None:
            half = [whole * DEFAULT_TEAM_SHARE for whole in self.total]
            found = TeamAccount(DEFAULT_TEAM_WEIGHT, Size(*half))
            self.accounts[team] = found
        return found

    def charge(self, team: str, size: Size) -> None:
        """Adds the estimated usage of a claimed job to its team's account."""
        account = self.account(team)
        account.used = account.used.plus(size)
        share = account.used.share_of(self.total)
        account.weighted_share = share / account.weight

    def next_team(self, teams: Iterable[str]) -> str:
        """Returns the team with the smallest weighted share, then by name."""
        return min([(self.account(team).weighted_share, team) for team in teams])[1]


def class_minima(service: ServiceSpec | None) -> dict[RequestClass, float]:
    """Returns the guaranteed share of a service's pool for each class.

    The defaults apply to an unknown service and to one that sets no shares.
    """
    if service is None or not service.class_minima:
        return dict(DEFAULT_CLASS_MINIMA)
    return {RequestClass(name): share for name, share in service.class_minima}


def next_class(
    waiting: Collection[RequestClass],
    shares: Mapping[RequestClass, float],
    minima: Mapping[RequestClass, float],
) -> RequestClass:
    """Returns the class whose job is placed next.

    Classes below their guaranteed share come first, so that none starves;
    otherwise the most urgent class comes first.

    Args:
        waiting: Classes with waiting jobs.
        shares: Share of the pool in use by each class.
        minima: Guaranteed share of each class.
    """
    below_minimum = [c for c in waiting if shares.get(c, 0.0) < minima.get(c, 0.0)]
    return min(below_minimum or waiting, key=URGENCY.__getitem__)
