"""What the VMs of an organisation have, and what its jobs use of it."""

from collections import defaultdict
from collections.abc import Iterable

from burdockthread_model.job import Job
from burdockthread_model.vm import VmListing, VmRecord, VmState
from burdockthread_routing.fleet_view import FleetView

from burdockthread_fleet.job_outcomes import task_id_of
from burdockthread_fleet.placement import Room
from burdockthread_fleet.task_table import TaskTable
from burdockthread_fleet.usage import Size, UsageEstimates
from burdockthread_fleet.worker_client import TaskState


class RoomBuilder:
    """Joins VM records, the platform's list, jobs and reports."""

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

    def build(self, claimed: Iterable[Job], wall_s: float) -> dict[str, Room]:
        """Returns the VMs of the organisation with the jobs that they have.

        Args:
            claimed: Jobs that are with a worker.
            wall_s: Unix time.
        """
        rooms = self.empty_rooms()
        by_vm: defaultdict[str, dict[str, Job]] = defaultdict(dict)
        for job in claimed:
            by_vm[job.vm][job.job_id] = job
        for vm, jobs in by_vm.items():
            if vm in rooms:
                self.fill(rooms[vm], jobs, wall_s)
        return rooms

    def fill(self, room: Room, jobs: dict[str, Job], wall_s: float) -> None:
        """Counts the jobs of one VM."""
        sizes = {}
        for job_id, job in jobs.items():
            task_id = task_id_of(job)
            report = self.table.reports.get(task_id)
            if task_id in self.table.released:
                sizes[job_id] = Size()
            else:
                sizes[job_id] = self.estimates.running(job, report, wall_s)
            room.unconfirmed += report is None or report.state is TaskState.FAILED
        room.fill(jobs, sizes)

    def empty_rooms(self) -> dict[str, Room]:
        """Returns the VMs without their jobs."""
        rooms = {}
        for record in self.view.records.values():
            listing = self.view.listings.get(record.name)
            pool = self.view.pools.get(record.pool)
            if pool is None or pool.organisation != self.organisation:
                continue
            if listing is not None:
                room = Room(listing, record)
                room.in_service = not self.is_stopping(record, listing)
                rooms[record.name] = room
        return rooms

    def is_stopping(self, record: VmRecord, listing: VmListing) -> bool:
        """Returns whether a VM is, or is about to be, out of service."""
        return record.state is not VmState.SERVING or self.view.is_leaving(listing)

    def observed(self, room: Room) -> dict[str, Size]:
        """Returns what each task of a VM that still runs was last seen to use."""
        observed = {}
        for job in room.tasks.values():
            report = self.table.report(job)
            if report is not None and report.task_id not in self.table.released:
                used = Size(report.cores_used, report.memory_gb_used)
                observed[job.job_id] = used
        return observed

    def is_draining(self, job: Job) -> bool:
        """Returns whether the VM of a claimed job is about to stop."""
        record = self.view.records.get(job.vm)
        listing = self.view.listings.get(job.vm)
        if record is not None and record.state is VmState.DRAINING:
            return True
        return listing is not None and self.view.is_leaving(listing)
