"""VMs: what the platform lists and what the fleet records of them."""

from enum import StrEnum
from typing import NamedTuple


class VmStatus(StrEnum):
    """State of a VM in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class VmState(StrEnum):
    """State of a VM in the fleet's record."""

    SERVING = "serving"
    DRAINING = "draining"
    REBOOTING = "rebooting"
    RETURNING = "returning"
    QUARANTINED = "quarantined"


class VmListing(NamedTuple):
    """A VM as the platform lists it; the list lags.

    Attributes:
        name: Unique name.
        host: IP address of the endpoint on the VM.
        port: TCP port of the endpoint on the VM.
        availability_zone: Availability zone.
        region: Region.
        rack: Rack, unique within the availability zone.
        cores: Processors.
        memory_gb: Memory in gigabytes.
        accelerators: Accelerators.
        status: Live or leaving.
        boot_id: Changes with every reboot.
    """

    name: str
    host: str
    port: int
    availability_zone: str
    region: str
    rack: str
    cores: int
    memory_gb: int
    accelerators: int
    status: VmStatus
    boot_id: str


class VmRecord(NamedTuple):
    """The fleet's record of a VM, kept at ``vm/<name>``.

    Attributes:
        name: Name of the VM.
        pool: The one pool the VM belongs to.
        state: State of the VM within its pool.
        generation: Grows with every change of pool; work carries it.
        wave: Id of the maintenance wave that has the VM out, or empty.
        boot_id: Boot seen before a reboot was asked for, or empty.
        maintained_s: Unix time of the last maintenance, zero for never.
        target_pool: Pool that a draining VM moves to, or empty.
        changed_s: Unix time of the last change of state.
    """

    name: str
    pool: str
    state: VmState
    generation: int
    wave: str = ""
    boot_id: str = ""
    maintained_s: float = 0.0
    target_pool: str = ""
    changed_s: float = 0.0
