"""Settings of an entry, which are checked completely at start."""

import json
import math
from pathlib import Path
from types import UnionType
from typing import (
    Annotated,
    NamedTuple,
    NotRequired,
    TypedDict,
    TypeVar,
    Union,
    get_args,
    get_origin,
    get_type_hints,
    is_typeddict,
)

import msgspec
from msgspec import Meta

from burdockthread_model.errors import SettingsError

Port = Annotated[int, Meta(ge=0, le=65535)]
Name = Annotated[str, Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]
Host = Annotated[str, Meta(min_length=1, max_length=64)]
Sha256 = Annotated[str, Meta(pattern=r"^[0-9a-f]{64}$")]
PositiveSeconds = Annotated[float, Meta(gt=0, le=86_400)]
PositiveCount = Annotated[int, Meta(ge=1, le=1_000_000_000)]
MAX_SETTINGS_BYTES = 1_000_000
MEGABYTE = 1_000_000
# Bodies take a sixteenth of the memory at most; this leaves room for two of them.
LEAST_MEMORY_PER_BODY_BYTE = 32

T = TypeVar("T")


class AddressSettings(TypedDict):
    """A host and a TCP port; with port 0 the kernel chooses a free port."""

    host: Host
    port: Port


class PeerSettings(TypedDict):
    """Name, peer address and location of one of the entries."""

    name: Name
    host: Host
    port: Port
    availability_zone: Name
    region: Name


class OperatorSettings(TypedDict):
    """An operator's token, of which only the SHA-256 is stored.

    Attributes:
        operator: Name of the operator.
        token_sha256: SHA-256 in hex of the bearer token.
        rights: Any of read, propose, review, accept, cancel.
    """

    operator: Name
    token_sha256: Sha256
    rights: list[str]


class PlatformSettings(TypedDict):
    """Addresses of the platform's services.

    Attributes:
        store_url: Base address of the key-value service.
        vm_directory_url: Base address of the list of VMs.
    """

    store_url: str
    vm_directory_url: str


class StatsdSettings(TypedDict):
    """Address of the statsd server, and the prefix of the metric names."""

    host: Host
    port: Port
    prefix: NotRequired[str]


class LimitSettings(TypedDict):
    """Limits of one entry; `Limits` has the meanings and defaults."""

    memory_mb: NotRequired[PositiveCount]
    body_bytes: NotRequired[PositiveCount]
    header_bytes: NotRequired[PositiveCount]
    caller_connections: NotRequired[PositiveCount]
    operator_connections: NotRequired[PositiveCount]
    store_reads_per_s: NotRequired[PositiveSeconds]
    store_writes_per_s: NotRequired[PositiveSeconds]
    stop_timeout_s: NotRequired[PositiveSeconds]
    idempotency_keys: NotRequired[PositiveCount]
    directory_interval_s: NotRequired[PositiveSeconds]


class EntrySettings(TypedDict):
    """Settings of one entry, as in its JSON file.

    Attributes:
        name: Name of the entry, which has to occur in `entries`.
        availability_zone: Availability zone of the entry.
        region: Region of the entry.
        callers: Address on which the entry listens for callers.
        operators: Address on which the entry listens for operators.
        peers: Address on which the entry listens for other entries.
        peer_key: Secret that entries use to authenticate to each other.
        entries: All entries, this one included.
        platform: Addresses of the platform's services.
        operator_tokens: Tokens and rights of the operators.
        statsd: Where metrics are sent; nowhere if left out.
        limits: Limits that differ from the defaults.
        log_level: One of `LOG_LEVELS`; info if left out.
    """

    name: Name
    availability_zone: Name
    region: Name
    callers: AddressSettings
    operators: AddressSettings
    peers: AddressSettings
    peer_key: Annotated[str, Meta(min_length=16, max_length=256)]
    entries: list[PeerSettings]
    platform: PlatformSettings
    operator_tokens: list[OperatorSettings]
    statsd: NotRequired[StatsdSettings]
    limits: NotRequired[LimitSettings]
    log_level: NotRequired[str]


LOG_LEVELS = ("debug", "info", "warning", "error")
RIGHTS = ("read", "propose", "review", "accept", "cancel")


def load_settings(path: str) -> EntrySettings:
    """Reads and checks a settings file.

    Args:
        path: Path of a JSON file.

    Returns:
        The settings.

    Raises:
        SettingsError: The file cannot be read, is not JSON, or a value is invalid.
    """
    try:
        data = Path(path).read_bytes()
    except OSError as error:
        raise SettingsError("$", f"cannot read {path}: {error.strerror}") from error
    return parse_settings(data)


def parse_settings(data: bytes) -> EntrySettings:
    """Checks settings given as JSON text.

    Args:
        data: JSON text.

    Returns:
        The settings.

    Raises:
        SettingsError: The text is not JSON, or a value is invalid.
    """
    if len(data) > MAX_SETTINGS_BYTES:
        raise SettingsError(
            "$", f"settings of {len(data)} bytes exceed {MAX_SETTINGS_BYTES} bytes"
        )
    settings = parse_typed(data, EntrySettings)
    check_consistency(settings)
    return settings


def parse_typed(data: bytes, kind: type[T]) -> T:
    """Decodes JSON into a TypedDict and rejects unknown keys.

    Args:
        data: JSON text.
        kind: TypedDict class to check against.

    Returns:
        The decoded value.

    Raises:
        SettingsError: The text is not JSON, a key is unknown, or a value is
            invalid.
    """
    try:
        raw = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise SettingsError("$", f"not JSON: {error}") from error
    return convert_typed(raw, kind)


def convert_typed(raw: object, kind: type[T]) -> T:
    """Checks decoded JSON against a TypedDict; see `parse_typed`."""
    check_unknown_keys(raw, kind, "$")
    try:
        return msgspec.convert(raw, kind)
    except msgspec.ValidationError as error:
        reason, _, path = str(error).partition(" - at `")
        raise SettingsError(path.rstrip("`") or "$", reason) from error


def check_unknown_keys(raw: object, kind: object, path: str) -> None:
    """Rejects keys that a TypedDict does not declare, at any depth.

    Args:
        raw: Decoded JSON.
        kind: Type to check against.
        path: JSON path of `raw`.

    Raises:
        SettingsError: A key is unknown.
    """
    origin = get_origin(kind)
    if is_typeddict(kind) and isinstance(raw, dict):
        check_typed_dict_keys(raw, kind, path)
    elif origin in (Union, UnionType, NotRequired):
        for option in get_args(kind):
            check_unknown_keys(raw, option, path)
    elif origin is list and isinstance(raw, list):
        for index, item in enumerate(raw):
            check_unknown_keys(item, get_args(kind)[0], f"{path}[{index}]")
    elif origin is dict and isinstance(raw, dict):
        for key, item in raw.items():
            check_unknown_keys(item, get_args(kind)[1], f"{path}.{key}")


def check_typed_dict_keys(raw: dict[str, object], kind: object, path: str) -> None:
    """Rejects unknown keys of one object and checks the values of known ones."""
    hints = get_type_hints(kind)
    for key, item in raw.items():
        if key not in hints:
            raise SettingsError(f"{path}.{key}", "unknown key")
        check_unknown_keys(item, hints[key], f"{path}.{key}")


def check_consistency(settings: EntrySettings) -> None:
    """Checks the constraints that the types do not express.

    Raises:
        SettingsError: A value is not allowed, or two values are inconsistent.
    """
    level = settings.get("log_level", "info")
    if level not in LOG_LEVELS:
        raise SettingsError("$.log_level", f"expected one of {', '.join(LOG_LEVELS)}")
    names = [entry["name"] for entry in settings["entries"]]
    if len(set(names)) != len(names):
        raise SettingsError("$.entries", "two entries have the same name")
    if settings["name"] not in names:
        raise SettingsError("$.entries", f"this entry, {settings['name']}, is missing")
    for index, token in enumerate(settings["operator_tokens"]):
        for right in token["rights"]:
            if right not in RIGHTS:
                path = f"$.operator_tokens[{index}].rights"
                raise SettingsError(path, f"unknown right {right}")
    check_memory(Limits.from_settings(settings))


def check_memory(limits: "Limits") -> None:
    """Checks that the memory suffices for the largest requests.

    Raises:
        SettingsError: It does not.
    """
    largest = max(limits.body_bytes, limits.header_bytes)
    least_mb = math.ceil(largest * LEAST_MEMORY_PER_BODY_BYTE / MEGABYTE)
    if limits.memory_mb < least_mb:
        raise SettingsError(
            "$.limits.memory_mb",
            f"expected at least {least_mb} for requests of {largest} bytes",
        )


class Limits(NamedTuple):
    """Limits of one entry, with the defaults filled in.

    Attributes:
        memory_mb: Memory of the process in megabytes; what is received and not
            answered takes a quarter of it at most.
        body_bytes: Largest size of a request body.
        header_bytes: Largest size of a request line and headers together.
        caller_connections: Most connections on the callers' port.
        operator_connections: Most connections on the operators' port.
        store_reads_per_s: Most reads of the store per second; opening a watch
            counts as a read.
        store_writes_per_s: Most writes and lease calls to the store per second.
        stop_timeout_s: Longest duration of a graceful stop in seconds.
        idempotency_keys: Most idempotency keys that are remembered.
        directory_interval_s: Seconds between two reads of the list of VMs.
    """

    memory_mb: int = 512
    body_bytes: int = 1_048_576
    header_bytes: int = 65_536
    caller_connections: int = 1_024
    operator_connections: int = 64
    store_reads_per_s: float = 100.0
    store_writes_per_s: float = 40.0
    stop_timeout_s: float = 30.0
    idempotency_keys: int = 20_000
    directory_interval_s: float = 1.0

    @classmethod
    def from_settings(cls, settings: EntrySettings) -> "Limits":
        """Returns the limits in the settings; defaults apply where none is set."""
        return cls(**settings.get("limits", {}))
