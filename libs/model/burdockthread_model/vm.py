"""VMs as listed by the platform, and the fleet's own records of them."""

from enum import StrEnum
from typing import NamedTuple


class VmStatus(StrEnum):
    """Status of a VM in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class VmState(StrEnum):
    """State of a VM in the fleet's own record."""

    SERVING = "serving"
    DRAINING = "draining"
    REBOOTING = "rebooting"
    RETURNING = "returning"
    QUARANTINED = "quarantined"


class VmListing(NamedTuple):
    """A VM as listed by the platform; the list may be out of date.

    Attributes:
        name: Unique name.
        host: IP address of the endpoint on the VM.
        port: TCP port of the endpoint on the VM.
        availability_zone: Availability zone.
        region: Region.
        rack: Rack, unique within the availability zone.
        cores: Processor cores.
        memory_gb: Memory in gigabytes.
        accelerators: Accelerators.
        status: Live or leaving.
        boot_id: Id that changes with every reboot.
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
    """The fleet's record of a VM, stored at ``vm/<name>``.

    Attributes:
        name: Name of the VM.
        pool: Pool to which the VM belongs.
        state: State of the VM within its pool.
        generation: Number that increases with every change of pool; requests and
            tasks for the VM carry it.
        wave: Id of the maintenance wave that has taken the VM out of service, or
            empty.
        boot_id: Boot id before a reboot was ordered, or empty.
        maintained_s: Unix time of the last maintenance, or 0 for never.
        target_pool: Pool to which a draining VM will move, or empty.
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
