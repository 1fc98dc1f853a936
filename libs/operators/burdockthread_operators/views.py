"""Reports for operators on the state in the memory of an entry."""

from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from burdockthread_model.intended import AcceptedTemplate
from burdockthread_model.vm import VmListing, VmRecord

Report = Callable[[], object]


class TemplateSummary(NamedTuple):
    """An accepted template that this entry applied, without its document."""

    name: str
    version: int
    content_hash: str
    change_id: str
    accepted_s: float


class VmSummary(NamedTuple):
    """A VM as recorded by the fleet and as listed by the platform.

    Attributes:
        name: Name of the VM.
        pool: Pool of the VM, or empty if the VM has no record.
        state: State in the pool, or empty if the VM has no record.
        generation: Generation of the record, or 0 if there is none.
        target_pool: Pool that the VM moves to, or empty.
        maintained_s: Unix time of the last maintenance, or 0.
        listed: State in the platform's list, or empty if the VM is not listed.
        availability_zone: Availability zone, or empty if the VM is not listed.
        rack: Rack, or empty if the VM is not listed.
    """

    name: str
    pool: str
    state: str
    generation: int
    target_pool: str
    maintained_s: float
    listed: str
    availability_zone: str
    rack: str


class Views(NamedTuple):
    """Functions that report on the state of this process.

    Attributes:
        status: Intended state next to the actual state.
        templates: Accepted templates that this process has applied.
        vms: VMs as recorded by the fleet and as listed by the platform.
    """

    status: Report
    templates: Report
    vms: Report


def template_summaries(
    templates: Iterable[AcceptedTemplate],
) -> tuple[TemplateSummary, ...]:
    """Returns summaries of the templates, sorted by name."""
    fields = TemplateSummary._fields
    return tuple(
        TemplateSummary(*(getattr(template, field) for field in fields))
        for template in sorted(templates, key=lambda template: template.name)
    )


def vm_summaries(
    records: Mapping[str, VmRecord], listings: Mapping[str, VmListing]
) -> tuple[VmSummary, ...]:
    """Returns all VMs that have a record or a listing, sorted by name."""
    names = sorted(records.keys() | listings.keys())
    return tuple(
        vm_summary(name, records.get(name), listings.get(name)) for name in names
    )


def vm_summary(
    name: str, record: VmRecord | None, listing: VmListing | None
) -> VmSummary:
    """Returns the summary of a VM, of which the record or listing may be missing."""
    return VmSummary(
        name=name,
        pool="" if record is None else record.pool,
        state="" if record is None else record.state.value,
        generation=0 if record is None else record.generation,
        target_pool="" if record is None else record.target_pool,
        maintained_s=0.0 if record is None else record.maintained_s,
        listed="" if listing is None else listing.status.value,
        availability_zone="" if listing is None else listing.availability_zone,
        rack="" if listing is None else listing.rack,
    )
