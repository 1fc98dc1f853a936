"""Decodes the operators' configuration from the platform's store."""

from burdockthread_model.events import EventLog
from burdockthread_scheduling.configuration_view import ConfigurationView
from burdockthread_scheduling.organisations import (
    UNLIMITED,
    Organisations,
    OrganisationSpec,
    Quota,
    key_digest,
)
from burdockthread_scheduling.specs import (
    FleetConfiguration,
    PlacementPolicyTimes,
    PoolSpec,
    QueueSpec,
    RequestLimits,
)
from burdockthread_store.store import KeyValue

from burdockthread_platform import wire

CONFIGURATION_KEY = "op/config"
OPERATOR_PREFIX = "op/"
ORGANISATIONS = "tenants"


class ConfigurationReader:
    """Decodes each version of the configuration and applies it to the view."""

    def __init__(self, view: ConfigurationView, log: EventLog) -> None:
        self.view = view
        self.log = log

    def on_change(self, key: str, item: KeyValue | None) -> None:
        """Applies a new version; logs one that cannot be decoded and keeps the old."""
        if key != CONFIGURATION_KEY or item is None:
            return
        try:
            self.view.apply(parse_configuration(item.value), item.revision)
        except wire.WireError as error:
            self.log.error("configuration_unreadable", reason=error)


def parse_configuration(value: bytes) -> FleetConfiguration:
    """Decodes a configuration.

    Raises:
        WireError: The configuration is malformed.
    """
    body = wire.parse_object(value)
    # A configuration without organisations has no keys either.
    keyless = ORGANISATIONS not in body
    queues = [parse_queue(route, keyless) for route in wire.objects(body, "routes")]
    pools = [parse_pool(service) for service in wire.objects(body, "services")]
    return FleetConfiguration(
        version=wire.integer(body, "version", default=None),
        queues={queue.name: queue for queue in queues},
        pools={pool.name: pool for pool in pools},
        limits=parse_limits(wire.as_object(body.get("limits", {}), "limits")),
        organisations=Organisations(
            parse_organisation(tenant) for tenant in wire.objects(body, ORGANISATIONS)
        ),
    )


def parse_queue(route: wire.JsonObject, keyless: bool = True) -> QueueSpec:
    """Decodes a route; each route of the platform is a queue of jobs here.

    Args:
        route: The route.
        keyless: Whether no route of the configuration needs a key.
    """
    path = "routes"
    return QueueSpec(
        name=wire.required_text(route, "name", path),
        host=wire.required_text(route, "host", path),
        path=wire.required_text(route, "prefix", path),
        pool=wire.required_text(route, "service", path),
        priority=wire.integer(route, "priority", path),
        max_attempts=wire.integer(route, "maxAttempts", path, default=1),
        stretch=wire.number(route, "stretch", path, 1.0),
        latency_target_ms=wire.number(route, "targetLatencyMs", path),
        answer_timeout_ms=wire.number(route, "timeoutMs", path),
        placement_policy=parse_policy(route.get("advice")),
        public=wire.flag(route, "public", path) or keyless,
    )


def parse_organisation(tenant: wire.JsonObject) -> OrganisationSpec:
    """Decodes a tenant; each tenant of the platform is an organisation here."""
    path = ORGANISATIONS
    most = wire.as_object(tenant.get("maxCount", {}), f"{path}.maxCount")
    return OrganisationSpec(
        name=wire.required_text(tenant, "name", path),
        key_digests=tuple(
            key_digest(key) for key in wire.texts(tenant, "apiKeys", path) if key
        ),
        weight=wire.number(tenant, "weight", path),
        # Zero means no limit.
        quota=Quota(
            cpu_milli=wire.integer(most, "cpu", path) or UNLIMITED,
            memory_mb=wire.integer(most, "memMb", path) or UNLIMITED,
            accelerators=wire.integer(most, "gpu", path) or UNLIMITED,
        ),
    )


def parse_policy(value: object) -> PlacementPolicyTimes | None:
    """Decodes the times of a queue's placement policy; None if it has no policy."""
    if not value:
        return None
    body = wire.as_object(value, "routes.advice")
    return PlacementPolicyTimes(
        wire.number(body, "decideMs"),
        wire.number(body, "eachMs"),
        wire.number(body, "validMs"),
    )


def parse_pool(service: wire.JsonObject) -> PoolSpec:
    """Decodes a service; each service of the platform is a pool of workers here."""
    path = "services"
    return PoolSpec(
        name=wire.required_text(service, "name", path),
        refuses_overload=wire.flag(service, "rejectsOverload", path),
        spare=wire.flag(service, "spare", path),
        health_path=wire.text(service, "healthPath", path),
    )


def parse_limits(body: wire.JsonObject) -> RequestLimits:
    """Decodes the limits of a request; absent fields keep their defaults."""
    default = RequestLimits()
    path = "limits"
    return RequestLimits(
        wire.integer(body, "maxHeaderBytes", path, default=default.header_bytes),
        wire.integer(body, "maxBodyBytes", path, default=default.body_bytes),
        wire.number(body, "headerTimeoutMs", path, default.header_timeout_ms),
        wire.number(body, "idleTimeoutMs", path, default.idle_timeout_ms),
    )
