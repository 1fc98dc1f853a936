"""Intended state of the fleet, as specified by templates.

The TypedDicts are the form that operators write; the NamedTuples are the rendered
specification of one organisation.
"""

from enum import StrEnum
from typing import NamedTuple, NotRequired, TypedDict


class FailureDomain(StrEnum):
    """Largest failure after which a pool still has its minimum of VMs."""

    VM = "vm"
    RACK = "rack"
    ZONE = "zone"


class PoolTemplate(TypedDict):
    """A pool in a template; numbers may refer to a parameter as ``$name``.

    Attributes:
        vms: Number of VMs of the pool.
        min_available: Number of VMs that must be available at all times.
        survives: Failure after which `min_available` VMs are still available.
        spare: Whether this is the spare pool of the organisation.
        zones: Availability zones from which the pool may have VMs; all if left out.
    """

    vms: int | str
    min_available: int | str
    survives: NotRequired[FailureDomain]
    spare: NotRequired[bool]
    zones: NotRequired[list[str]]


class ServiceTemplate(TypedDict):
    """A service in a template.

    Attributes:
        pool: Pool that serves the service.
        slots: Most requests in progress at one endpoint, from all entries.
        connections: Most connections to one endpoint, from all entries.
        queue_limit: Most requests that wait at one entry.
        deadline_s: Default deadline of a request in seconds.
        class_minima: Guaranteed fraction of the slots by class, each 0 to 1.
    """

    pool: str
    slots: NotRequired[int]
    connections: NotRequired[int]
    queue_limit: NotRequired[int]
    deadline_s: NotRequired[float]
    class_minima: NotRequired[dict[str, float]]


class TeamTemplate(TypedDict):
    """A team's quota in a template.

    Attributes:
        weight: Weight of the team's fair share relative to the other teams.
        cores: Most processor cores, or a parameter.
        memory_gb: Most memory in gigabytes, or a parameter.
    """

    weight: NotRequired[float]
    cores: int | str
    memory_gb: int | str


class WeightsTemplate(TypedDict):
    """Weights of the four measures for an organisation; larger counts more."""

    buffer: float
    rollout: float
    moves: float
    flood: float


class MaintenanceTemplate(TypedDict):
    """Schedule and timeouts of maintenance.

    Attributes:
        period_days: Days within which every VM is maintained once.
        drain_timeout_s: Longest duration of a drain in seconds.
        return_timeout_s: Longest time in seconds until a VM is available again.
    """

    period_days: float
    drain_timeout_s: NotRequired[float]
    return_timeout_s: NotRequired[float]


class TemplateDocument(TypedDict):
    """A template as operators write it.

    Attributes:
        name: Unique name of the template.
        organisations: Parameters by organisation.
        pools: Pools by name; each organisation gets its own instance.
        services: Services by name.
        teams: Quotas by team.
        weights: Weights of the four measures.
        maintenance: Schedule and timeouts of maintenance.
    """

    name: str
    organisations: dict[str, dict[str, int | float | str]]
    pools: dict[str, PoolTemplate]
    services: dict[str, ServiceTemplate]
    teams: NotRequired[dict[str, TeamTemplate]]
    weights: NotRequired[WeightsTemplate]
    maintenance: NotRequired[MaintenanceTemplate]


class PoolSpec(NamedTuple):
    """A pool of one organisation; its name is ``<organisation>/<pool>``.

    The fields are those of `PoolTemplate` with the parameters filled in.
    """

    name: str
    organisation: str
    vms: int
    min_available: int
    survives: FailureDomain = FailureDomain.VM
    spare: bool = False
    zones: tuple[str, ...] = ()


class ServiceSpec(NamedTuple):
    """A service of one organisation; its name is ``<organisation>/<service>``.

    The fields are those of `ServiceTemplate` with the defaults filled in.
    """

    name: str
    organisation: str
    pool: str
    slots: int = 8
    connections: int = 64
    queue_limit: int = 256
    deadline_s: float = 10.0
    class_minima: tuple[tuple[str, float], ...] = ()


class TeamSpec(NamedTuple):
    """The quota of one team; the fields are those of `TeamTemplate`."""

    name: str
    organisation: str
    weight: float
    cores: int
    memory_gb: int


class WeightsSpec(NamedTuple):
    """Weights of the four measures, with the defaults filled in."""

    buffer: float = 1.0
    rollout: float = 1.0
    moves: float = 1.0
    flood: float = 1.0


class MaintenanceSpec(NamedTuple):
    """Schedule and timeouts of maintenance, with the defaults filled in."""

    period_days: float = 35.0
    drain_timeout_s: float = 300.0
    return_timeout_s: float = 600.0


class OrganisationSpec(NamedTuple):
    """The specification that one template gives for one organisation."""

    organisation: str
    template: str
    version: int
    pools: tuple[PoolSpec, ...]
    services: tuple[ServiceSpec, ...]
    teams: tuple[TeamSpec, ...]
    weights: WeightsSpec
    maintenance: MaintenanceSpec


class AcceptedTemplate(NamedTuple):
    """An accepted version of a template, as stored at ``config/head/<name>``.

    Attributes:
        name: Name of the template.
        version: Number that increases by one with each acceptance.
        content_hash: SHA-256 in hex of the canonical document.
        change_id: Id of the accepted change.
        accepted_s: Unix time of the acceptance.
        document: The template.
    """

    name: str
    version: int
    content_hash: str
    change_id: str
    accepted_s: float
    document: TemplateDocument
