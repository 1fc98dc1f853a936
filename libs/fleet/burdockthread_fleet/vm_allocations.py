"""Builds the allocations of an organisation's VMs."""

from collections import defaultdict
from collections.abc import Iterable

from burdockthread_model.job import Job
from burdockthread_model.vm import VmListing, VmRecord, VmState
from burdockthread_routing.fleet_view import FleetView

from burdockthread_fleet.job_outcomes import task_id_of
from burdockthread_fleet.placement import VmAllocation
from burdockthread_fleet.task_table import TaskTable
from burdockthread_fleet.usage import Size, UsageEstimates
from burdockthread_fleet.worker_client import TaskState


class VmAllocationBuilder:
    """Combines VM records, the platform's VM list, jobs and task reports."""

    def __init__(
        self,
        organisation: str,
        view: FleetView,
        table: TaskTable,
        estimates: UsageEstimates,
    ) -> None:
        self.organisation = organisation
        self.view = view
        self.table = table
        self.estimates = estimates

    def build(self, claimed: Iterable[Job], wall_s: float) -> dict[str, VmAllocation]:
        """Returns the allocations of the organisation's VMs, by VM.

        Args:
            claimed: Jobs that are claimed or running.
            wall_s: Unix time in seconds.
        """
        allocations = self.empty_allocations()
        by_vm: defaultdict[str, dict[str, Job]] = defaultdict(dict)
        for job in claimed:
            by_vm[job.vm][job.job_id] = job
        for vm, jobs in by_vm.items():
            if vm in allocations:
                self.assign_jobs(allocations[vm], jobs, wall_s)
        return allocations

    def assign_jobs(
        self, allocation: VmAllocation, jobs: dict[str, Job], wall_s: float
    ) -> None:
        """Sets the jobs of one VM and their estimated usage.

        A job whose task has been confirmed as stopped counts as using nothing.
        """
        sizes = {}
        for job_id, job in jobs.items():
            task_id = task_id_of(job)
            report = self.table.reports.get(task_id)
            if task_id in self.table.released:
                sizes[job_id] = Size()
            else:
                sizes[job_id] = self.estimates.running(job, report, wall_s)
            allocation.unconfirmed_jobs += (
                report is None or report.state is TaskState.FAILED
            )
        allocation.assign_jobs(jobs, sizes)

    def empty_allocations(self) -> dict[str, VmAllocation]:
        """Returns the allocations without jobs; unlisted VMs are left out."""
        allocations = {}
        for record in self.view.records.values():
            listing = self.view.listings.get(record.name)
            pool = self.view.pools.get(record.pool)
            if pool is None or pool.organisation != self.organisation:
                continue
            if listing is not None:
                allocation = VmAllocation(listing, record)
                allocation.in_service = not self.is_stopping(record, listing)
                allocations[record.name] = allocation
        return allocations

    def is_stopping(self, record: VmRecord, listing: VmListing) -> bool:
        """Returns whether a VM is out of service or about to leave."""
        return record.state is not VmState.SERVING or self.view.is_leaving(listing)

    def observed(self, allocation: VmAllocation) -> dict[str, Size]:
        """Returns the newest reported usage of a VM's tasks, by job id.

        Tasks without a report and tasks confirmed as stopped are left out.
        """
        observed = {}
        for job in allocation.jobs.values():
            report = self.table.report(job)
            if report is not None and report.task_id not in self.table.released:
                used = Size(report.cores_used, report.memory_gb_used)
                observed[job.job_id] = used
        return observed

    def is_draining(self, job: Job) -> bool:
        """Returns whether the VM of a claimed job is draining or leaving."""
        record = self.view.records.get(job.vm)
        listing = self.view.listings.get(job.vm)
        if record is not None and record.state is VmState.DRAINING:
            return True
        return listing is not None and self.view.is_leaving(listing)
