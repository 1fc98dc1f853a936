"""Settings of an entry, checked whole at start."""

import json
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

T = TypeVar("T")


class AddressSettings(TypedDict):
    """A host and a TCP port; port 0 lets the kernel choose."""

    host: Host
    port: Port


class PeerSettings(TypedDict):
    """Another entry."""

    name: Name
    host: Host
    port: Port
    availability_zone: Name
    region: Name


class OperatorSettings(TypedDict):
    """An operator's token, kept only as its SHA-256.

    Attributes:
        operator: Name of the operator.
        token_sha256: SHA-256 in hex of the bearer token.
        rights: Any of read, propose, review, accept, cancel.
    """

    operator: Name
    token_sha256: Sha256
    rights: list[str]


class PlatformSettings(TypedDict):
    """Where the platform answers.

    Attributes:
        store_url: Base address of the key-value service.
        vm_directory_url: Base address of the list of VMs.
    """

    store_url: str
    vm_directory_url: str


class StatsdSettings(TypedDict):
    """Where metrics go."""

    host: Host
    port: Port
    prefix: NotRequired[str]


class LimitSettings(TypedDict):
    """Bounds of one entry; every one has a default."""

    body_bytes: NotRequired[PositiveCount]
    caller_connections: NotRequired[PositiveCount]
    operator_connections: NotRequired[PositiveCount]
    store_reads_per_s: NotRequired[PositiveSeconds]
    store_writes_per_s: NotRequired[PositiveSeconds]
    stop_timeout_s: NotRequired[PositiveSeconds]
    idempotency_keys: NotRequired[PositiveCount]
    directory_interval_s: NotRequired[PositiveSeconds]


class EntrySettings(TypedDict):
    """Settings of one entry."""

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
        SettingsError: The file is missing, is not JSON, or a value is wrong.
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
        SettingsError: The text is not JSON, or a value is wrong.
    """
    if len(data) > MAX_SETTINGS_BYTES:
        raise SettingsError("$", f"larger than {MAX_SETTINGS_BYTES} bytes")
    settings = parse_typed(data, EntrySettings)
    check_consistency(settings)
    return settings


def parse_typed(data: bytes, kind: type[T]) -> T:
    """Decodes JSON into a TypedDict and refuses unknown keys.

    Args:
        data: JSON text.
        kind: TypedDict class to check against.

    Returns:
        The decoded value.

    Raises:
        SettingsError: The text is not JSON, a key is unknown, or a value is wrong.
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
    """Refuses keys that a TypedDict does not name, at any depth.

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
    """Refuses unknown keys of one object and descends into the known ones."""
    hints = get_type_hints(kind)
    for key, item in raw.items():
        if key not in hints:
            raise SettingsError(f"{path}.{key}", "unknown key")
        check_unknown_keys(item, hints[key], f"{path}.{key}")


def check_consistency(settings: EntrySettings) -> None:
    """Checks what types alone cannot say.

    Raises:
        SettingsError: Two values contradict each other.
    """
    level = settings.get("log_level", "info")
    if level not in LOG_LEVELS:
        raise SettingsError("$.log_level", f"expected one of {', '.join(LOG_LEVELS)}")
    names = [entry["name"] for entry in settings["entries"]]
    if len(set(names)) != len(names):
        raise SettingsError("$.entries", "a name stands twice")
    if settings["name"] not in names:
        raise SettingsError("$.entries", f"{settings['name']} itself is missing")
    for index, token in enumerate(settings["operator_tokens"]):
        for right in token["rights"]:
            if right not in RIGHTS:
                path = f"$.operator_tokens[{index}].rights"
                raise SettingsError(path, f"unknown right {right}")


class Limits(NamedTuple):
    """Bounds of one entry, with the defaults filled in.

    Attributes:
        body_bytes: Largest body of a request.
        caller_connections: Connections on the callers' port.
        operator_connections: Connections on the operators' port.
        store_reads_per_s: Reads, waiting watches included, asked of the store.
        store_writes_per_s: Writes asked of the store.
        stop_timeout_s: Longest graceful stop.
        idempotency_keys: Keys remembered.
        directory_interval_s: Time between two reads of the list of VMs.
    """

    body_bytes: int = 1_048_576
    caller_connections: int = 1_024
    operator_connections: int = 64
    store_reads_per_s: float = 100.0
    store_writes_per_s: float = 40.0
    stop_timeout_s: float = 30.0
    idempotency_keys: int = 20_000
    directory_interval_s: float = 1.0

    @classmethod
    def from_settings(cls, settings: EntrySettings) -> "Limits":
        """Returns the limits of an entry."""
        return cls(**settings.get("limits", {}))
