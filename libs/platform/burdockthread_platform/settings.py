"""Reads the settings file that the platform writes for a process."""

from math import inf
from pathlib import Path
from typing import NamedTuple

from burdockthread_model.addresses import Address
from burdockthread_model.errors import SettingsError
from burdockthread_model.settings_lines import Fields

SETTINGS_VARIABLE = "BURDOCKTHREAD_BOOT"
BYTES_PER_MBIT = 125_000


class EntrySettings(NamedTuple):
    """Settings of a process: its VM, the platform's addresses, limits and times.

    Attributes:
        name: Name of the entry.
        host: IP address of the VM.
        availability_zone: Availability zone of the VM.
        callers: Address for callers.
        readiness: Address at which the platform polls the readiness.
        first_port: First of the ports for calls between entries.
        cores: Processing power: share of one core times the speed of that core.
        memory_mb: Memory limit in megabytes; the process is killed above it.
        link_bytes_per_s: Rate of the machine's link; infinity if it is not given.
        store: Address of the store.
        store_reads_per_s: Limit of reads per second, shared by all entries.
        store_writes_per_s: Limit of writes per second, shared by all entries.
        machines: Address of the machine control, or None.
        machine_orders_per_s: Limit of orders to machines per second.
        machine_reads_per_s: Limit of reads of the machine list per second.
        policy: Address of the placement policy service, or None.
        heartbeat_s: Seconds between the registrations of a worker.
        stop_timeout_s: Seconds from the stop signal until the process is killed.
        order_spacing_s: Least seconds between orders to machines of two holders.
        max_lease_s: Longest lease of a run in seconds.
        run_stop_s: Most seconds from a stop order until the run has ended.
        absence_notice_s: Seconds for which an absence counts after its cause has ended.
        move_s: Seconds that a machine takes to change its pool.
        upkeep_s: Seconds that the upkeep of a machine takes.
        latency_breach_s: Seconds over its target after which a task counts as harmed.
        gang_wait_s: Seconds for which members of a gang wait for each other.
        early_s: Seconds by which a scheduled task may start before its time.
        state_retention_s: Seconds for which an ended job is remembered.
        strict_revocation: Whether an entry that may have missed the removal of a key
            refuses calls with keys.
        revocation_s: Seconds within which a removed key has to be out of use then.
        descriptors: Limit of file descriptors; 0 if it is not given.
    """

    name: str
    host: str
    availability_zone: str
    callers: Address
    readiness: Address
    first_port: int
    cores: float
    memory_mb: int
    link_bytes_per_s: float
    store: Address
    store_reads_per_s: float
    store_writes_per_s: float
    machines: Address | None
    machine_orders_per_s: float
    machine_reads_per_s: float
    policy: Address | None
    heartbeat_s: float
    stop_timeout_s: float
    order_spacing_s: float
    max_lease_s: float
    run_stop_s: float
    absence_notice_s: float
    move_s: float
    upkeep_s: float
    latency_breach_s: float
    gang_wait_s: float
    early_s: float
    state_retention_s: float
    strict_revocation: bool = False
    revocation_s: float = 5.0
    descriptors: int = 0

    @classmethod
    def from_path(cls, path: Path) -> "EntrySettings":
        """Reads a settings file.

        Raises:
            SettingsError: The file cannot be read, or a field is missing or invalid.
        """
        try:
            content = path.read_text()
        except (OSError, UnicodeDecodeError) as error:
            raise SettingsError(str(path), str(error)) from error
        return cls.from_lines(content)

    @classmethod
    def from_lines(cls, content: str) -> "EntrySettings":
        """Parses the content of a settings file; raises like `from_path`."""
        fields = Fields(content)
        return cls(
            name=fields.text("node"),
            host=fields.text("ip"),
            availability_zone=fields.text("zone"),
            callers=fields.address("listenAddresses.front"),
            readiness=fields.address("listenAddresses.ready"),
            first_port=fields.first_port("internalPorts"),
            # The field `limits.cores` is the speed of the core, not a number of cores.
            cores=fields.number("limits.cpuShare", 1.0)
            * fields.number("limits.cores", 1.0),
            memory_mb=int(fields.number("limits.memoryMb", 0)),
            link_bytes_per_s=fields.number("limits.linkMbps", 0) * BYTES_PER_MBIT
            or inf,
            store=fields.address("platform.address"),
            store_reads_per_s=fields.number("platform.readsPerS"),
            store_writes_per_s=fields.number("platform.writesPerS"),
            machines=fields.optional_address("cloudApi.address"),
            machine_orders_per_s=fields.number("cloudApi.dutyPerS", 1.0),
            machine_reads_per_s=fields.number("cloudApi.ratePerS", 1.0),
            policy=fields.optional_address("advice"),
            heartbeat_s=fields.number("heartbeatMs") / 1000,
            stop_timeout_s=fields.number("bounds.graceS"),
            order_spacing_s=fields.number("bounds.leaseMs", 3000) / 1000,
            max_lease_s=fields.number("bounds.holdMaxMs", 6000) / 1000,
            run_stop_s=fields.number("bounds.stopMs", 1000) / 1000,
            absence_notice_s=fields.number("bounds.noticeMs", 4500) / 1000,
            move_s=fields.number("bounds.moveS", 1.5),
            upkeep_s=fields.number("bounds.upkeepS", 2.0),
            latency_breach_s=fields.number("bounds.harmMs", 4000) / 1000,
            gang_wait_s=fields.number("bounds.gangMs", 3000) / 1000,
            early_s=fields.number("bounds.early_ms", 250) / 1000,
            state_retention_s=fields.number("bounds.status_s", 120),
            strict_revocation=fields.flag("bounds.strictRevocation"),
            revocation_s=fields.number("bounds.revokeMs", 5000) / 1000,
            descriptors=int(fields.number("limits.fileDescriptors", 0)),
        )
