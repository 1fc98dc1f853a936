"""Intended state: what accepted templates ask of the fleet."""

from enum import StrEnum
from typing import NamedTuple, NotRequired, TypedDict


class FailureDomain(StrEnum):
    """Largest failure that a pool's availability budget survives."""

    VM = "vm"
    RACK = "rack"
    ZONE = "zone"


class PoolTemplate(TypedDict):
    """A pool in a template; numbers may name a parameter as ``$name``.

    Attributes:
        vms: VMs promised.
        min_available: VMs that are available at every moment.
        survives: Failure that still leaves `min_available`.
        spare: Whether this is the spare pool.
        zones: Availability zones whose VMs it may have; all if left out.
    """

    vms: int | str
    min_available: int | str
    survives: NotRequired[FailureDomain]
    spare: NotRequired[bool]
    zones: NotRequired[list[str]]


class ServiceTemplate(TypedDict):
    """A service in a template.

    Attributes:
        pool: Pool that serves it.
        slots: Requests in flight that one endpoint takes from all entries.
        connections: Connections that one endpoint takes from all entries.
        queue_limit: Requests waiting at one entry at the most.
        deadline_s: Default deadline of a request in seconds.
        class_minima: Guaranteed share of the slots by class, each 0 to 1.
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
        weight: Share against the other teams.
        cores: Processors at the most, or a parameter.
        memory_gb: Memory at the most in gigabytes, or a parameter.
    """

    weight: NotRequired[float]
    cores: int | str
    memory_gb: int | str


class WeightsTemplate(TypedDict):
    """What the organisation weighs; larger counts more."""

    buffer: float
    rollout: float
    moves: float
    flood: float


class MaintenanceTemplate(TypedDict):
    """Rhythm of maintenance.

    Attributes:
        period_days: Days in which every VM is maintained once.
        drain_timeout_s: Seconds that a drain may take.
        return_timeout_s: Seconds in which a VM has to come back.
    """

    period_days: float
    drain_timeout_s: NotRequired[float]
    return_timeout_s: NotRequired[float]


class TemplateDocument(TypedDict):
    """A template as operators write it.

    Attributes:
        name: Unique name of the template.
        organisations: Parameters for each organisation.
        pools: Pools by name; each organisation gets its own.
        services: Services by name.
        teams: Quotas by team.
        weights: Weights of the four measures.
        maintenance: Rhythm of maintenance.
    """

    name: str
    organisations: dict[str, dict[str, int | float | str]]
    pools: dict[str, PoolTemplate]
    services: dict[str, ServiceTemplate]
    teams: NotRequired[dict[str, TeamTemplate]]
    weights: NotRequired[WeightsTemplate]
    maintenance: NotRequired[MaintenanceTemplate]


class PoolSpec(NamedTuple):
    """A pool as intended; its name is ``<organisation>/<pool>``."""

    name: str
    organisation: str
    vms: int
    min_available: int
    survives: FailureDomain = FailureDomain.VM
    spare: bool = False
    zones: tuple[str, ...] = ()


class ServiceSpec(NamedTuple):
    """A service as intended; its name is ``<organisation>/<service>``."""

    name: str
    organisation: str
    pool: str
    slots: int = 8
    connections: int = 64
    queue_limit: int = 256
    deadline_s: float = 10.0
    class_minima: tuple[tuple[str, float], ...] = ()


class TeamSpec(NamedTuple):
    """A team's quota as intended."""

    name: str
    organisation: str
    weight: float
    cores: int
    memory_gb: int


class WeightsSpec(NamedTuple):
    """Weights of the four measures."""

    buffer: float = 1.0
    rollout: float = 1.0
    moves: float = 1.0
    flood: float = 1.0


class MaintenanceSpec(NamedTuple):
    """Rhythm of maintenance as intended."""

    period_days: float = 35.0
    drain_timeout_s: float = 300.0
    return_timeout_s: float = 600.0


class OrganisationSpec(NamedTuple):
    """What one template intends for one organisation."""

    organisation: str
    template: str
    version: int
    pools: tuple[PoolSpec, ...]
    services: tuple[ServiceSpec, ...]
    teams: tuple[TeamSpec, ...]
    weights: WeightsSpec
    maintenance: MaintenanceSpec


class AcceptedTemplate(NamedTuple):
    """An accepted version of a template, as kept at ``config/head/<name>``.

    Attributes:
        name: Name of the template.
        version: Grows by one with each acceptance.
        content_hash: SHA-256 in hex of the canonical document.
        change_id: Change that was accepted.
        accepted_s: Unix time of the acceptance.
        document: The template itself.
    """

    name: str
    version: int
    content_hash: str
    change_id: str
    accepted_s: float
    document: TemplateDocument
