"""Parses, checks and encodes templates, and renders them per organisation."""

import hashlib
import json
from typing import cast

import msgspec

from burdockthread_model.errors import SettingsError, TemplateError
from burdockthread_model.intended import (
    AcceptedTemplate,
    FailureDomain,
    MaintenanceSpec,
    OrganisationSpec,
    PoolSpec,
    PoolTemplate,
    ServiceSpec,
    ServiceTemplate,
    TeamSpec,
    TeamTemplate,
    TemplateDocument,
    WeightsSpec,
)
from burdockthread_model.request import RequestClass
from burdockthread_model.settings import convert_typed, parse_typed

MAX_TEMPLATE_BYTES = 256_000
MAX_VMS_PER_POOL = 10_000
MAX_SLOTS = 10_000

Parameters = dict[str, int | float | str]


def parse_template(data: bytes) -> TemplateDocument:
    """Decodes a template and renders it once, so that all errors are found.

    Args:
        data: JSON text of a template.

    Returns:
        The document.

    Raises:
        TemplateError: The text is not a valid template; the message contains the
            JSON path.
    """
    if len(data) > MAX_TEMPLATE_BYTES:
        raise TemplateError(
            f"$: template of {len(data)} bytes exceeds {MAX_TEMPLATE_BYTES} bytes"
        )
    try:
        document = parse_typed(data, TemplateDocument)
    except SettingsError as error:
        raise TemplateError(str(error)) from error
    render(document, version=0)
    return document


def document_from_raw(raw: object) -> TemplateDocument:
    """Checks the types of a template that is decoded JSON; does not render it."""
    try:
        return convert_typed(raw, TemplateDocument)
    except SettingsError as error:
        raise TemplateError(str(error)) from error


def canonical_json(value: object) -> bytes:
    """Encodes a value as JSON with sorted keys, so that equal values match."""
    return json.dumps(value, sort_keys=True, separators=(",", ":")).encode()


def content_hash(document: TemplateDocument) -> str:
    """Returns the SHA-256 in hex of the canonical JSON of a template."""
    return hashlib.sha256(canonical_json(document)).hexdigest()


def encode_accepted(accepted: AcceptedTemplate) -> bytes:
    """Encodes an accepted template as stored at ``config/head/<name>``."""
    return canonical_json(accepted._asdict())


def decode_accepted(data: bytes) -> AcceptedTemplate:
    """Decodes an accepted template and checks its content hash.

    Raises:
        TemplateError: The text is malformed or the hash does not match.
    """
    try:
        fields = json.loads(data)
        document = document_from_raw(fields.pop("document"))
        accepted = AcceptedTemplate(document=document, **fields)
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        raise TemplateError(f"accepted template is malformed: {error}") from error
    if content_hash(document) != accepted.content_hash:
        raise TemplateError(
            f"{accepted.name}: content hash does not match {accepted.content_hash}"
        )
    return accepted


def render(document: TemplateDocument, version: int) -> tuple[OrganisationSpec, ...]:
    """Renders a template with the parameters of each organisation.

    Args:
        document: Template to render.
        version: Accepted version, or 0 for a proposed template.

    Returns:
        One specification for each organisation, sorted by name.

    Raises:
        TemplateError: A parameter is missing or a value is out of range.
    """
    organisations = document["organisations"]
    if not organisations:
        raise TemplateError("$.organisations: expected at least one organisation")
    return tuple(
        render_organisation(document, name, organisations[name], version)
        for name in sorted(organisations)
    )


def render_organisation(
    document: TemplateDocument, organisation: str, parameters: Parameters, version: int
) -> OrganisationSpec:
    """Renders a template for one organisation; see `render`."""
    pools = tuple(
        render_pool(organisation, name, pool, parameters)
        for name, pool in sorted(document["pools"].items())
    )
    check_single_spare_pool(pools)
    services = tuple(
        render_service(document, organisation, name, service)
        for name, service in sorted(document["services"].items())
    )
    teams = tuple(
        render_team(organisation, name, team, parameters)
        for name, team in sorted(document.get("teams", {}).items())
    )
    return OrganisationSpec(
        organisation=organisation,
        template=document["name"],
        version=version,
        pools=pools,
        services=services,
        teams=teams,
        weights=WeightsSpec(**document.get("weights", {})),
        maintenance=render_maintenance(document),
    )


def render_pool(
    organisation: str, name: str, pool: PoolTemplate, parameters: Parameters
) -> PoolSpec:
    """Renders one pool; checks its numbers against the limits."""
    path = f"$.pools.{name}"
    vms = resolve_integer(pool["vms"], parameters, f"{path}.vms", MAX_VMS_PER_POOL)
    min_available = resolve_integer(
        pool["min_available"], parameters, f"{path}.min_available", vms
    )
    return PoolSpec(
        name=f"{organisation}/{name}",
        organisation=organisation,
        vms=vms,
        min_available=min_available,
        survives=pool.get("survives", FailureDomain.VM),
        spare=pool.get("spare", False),
        zones=tuple(pool.get("zones", ())),
    )


def check_single_spare_pool(pools: tuple[PoolSpec, ...]) -> None:
    """Raises `TemplateError` if an organisation has several spare pools."""
    spares = [pool.name for pool in pools if pool.spare]
    if len(spares) > 1:
        raise TemplateError(f"$.pools: more than one spare pool: {', '.join(spares)}")


def render_service(
    document: TemplateDocument, organisation: str, name: str, service: ServiceTemplate
) -> ServiceSpec:
    """Renders one service; checks its pool and numbers."""
    path = f"$.services.{name}"
    if service["pool"] not in document["pools"]:
        raise TemplateError(f"{path}.pool: no pool {service['pool']}")
    defaults = ServiceSpec("", "", "")
    spec = ServiceSpec(
        name=f"{organisation}/{name}",
        organisation=organisation,
        pool=f"{organisation}/{service['pool']}",
        slots=service.get("slots", defaults.slots),
        connections=service.get("connections", defaults.connections),
        queue_limit=service.get("queue_limit", defaults.queue_limit),
        deadline_s=service.get("deadline_s", defaults.deadline_s),
        class_minima=render_minima(service.get("class_minima", {}), path),
    )
    for field in ("slots", "connections", "queue_limit"):
        check_range(getattr(spec, field), f"{path}.{field}", 1, MAX_SLOTS)
    if not 0 < spec.deadline_s <= 86_400:
        raise TemplateError(
            f"{path}.deadline_s: expected more than 0, up to 86400, "
            f"got {spec.deadline_s}"
        )
    return spec


def render_minima(minima: dict[str, float], path: str) -> tuple[tuple[str, float], ...]:
    """Checks the guaranteed shares of the classes and sorts them by class."""
    for name, share in minima.items():
        if name not in set(RequestClass):
            raise TemplateError(f"{path}.class_minima.{name}: unknown class")
        if not 0 <= share <= 1:
            raise TemplateError(
                f"{path}.class_minima.{name}: expected 0 to 1, got {share}"
            )
    if sum(minima.values()) > 1:
        raise TemplateError(f"{path}.class_minima: the sum of the shares exceeds 1")
    return tuple(sorted(minima.items()))


def render_team(
    organisation: str, name: str, team: TeamTemplate, parameters: Parameters
) -> TeamSpec:
    """Renders the quota of one team; its weight has to be positive."""
    path = f"$.teams.{name}"
    weight = team.get("weight", 1.0)
    if weight <= 0:
        raise TemplateError(f"{path}.weight: expected more than 0, got {weight}")
    return TeamSpec(
        name=name,
        organisation=organisation,
        weight=weight,
        cores=resolve_integer(team["cores"], parameters, f"{path}.cores"),
        memory_gb=resolve_integer(team["memory_gb"], parameters, f"{path}.memory_gb"),
    )


def render_maintenance(document: TemplateDocument) -> MaintenanceSpec:
    """Renders the maintenance schedule; all its values have to be positive."""
    spec = MaintenanceSpec(**document.get("maintenance", {}))
    for field, value in spec._asdict().items():
        if value <= 0:
            raise TemplateError(
                f"$.maintenance.{field}: expected more than 0, got {value}"
            )
    return spec


def resolve_integer(
    value: int | str, parameters: Parameters, path: str, maximum: int = 10**9
) -> int:
    """Returns an integer, or the value of the parameter that a string refers to.

    Args:
        value: Integer, or ``$name`` of a parameter.
        parameters: Parameters of the organisation.
        path: JSON path of the value, for errors.
        maximum: Largest valid number.

    Raises:
        TemplateError: The parameter is missing, or the value is no integer from 0
            to `maximum`.
    """
    found: object = value
    if isinstance(value, str):
        name = value.removeprefix("$")
        if not value.startswith("$") or name not in parameters:
            raise TemplateError(f"{path}: no parameter {value}")
        found = parameters[name]
    if not isinstance(found, int) or isinstance(found, bool):
        raise TemplateError(f"{path}: expected a whole number, got {found!r}")
    check_range(found, path, 0, maximum)
    return found


def check_range(value: int, path: str, minimum: int, maximum: int) -> None:
    """Raises `TemplateError` if a number is out of range."""
    if not minimum <= value <= maximum:
        raise TemplateError(f"{path}: expected {minimum} to {maximum}, got {value}")


def to_plain(value: object) -> object:
    """Converts typed data to JSON-compatible values, NamedTuples to dicts."""
    if isinstance(value, tuple) and hasattr(value, "_asdict"):
        fields = cast("dict[str, object]", value._asdict())
        return {key: to_plain(item) for key, item in fields.items()}
    if isinstance(value, dict):
        return {str(key): to_plain(item) for key, item in value.items()}
    if isinstance(value, list | tuple | set | frozenset):
        return [to_plain(item) for item in value]
    return msgspec.to_builtins(value)
