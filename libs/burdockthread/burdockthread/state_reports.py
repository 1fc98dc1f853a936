"""The parts of a process's state dump."""

import os
import resource
from typing import TYPE_CHECKING

from burdockthread_fleet.job_directory import JobsReport, jobs_report
from burdockthread_operators.views import Report, template_summaries, vm_summaries

if TYPE_CHECKING:
    from burdockthread.entry import Entry


class StateReports:
    """Reads the state of one entry from memory; asks nobody."""

    def __init__(self, entry: "Entry") -> None:
        self.entry = entry

    def parts(self) -> dict[str, Report]:
        """Returns the parts of the dump by name."""
        return {
            "status": self.entry.status.report,
            "process": self.process,
            "metrics": self.metrics,
            "routing": self.routing,
            "jobs": self.jobs,
            "store": self.store,
        }

    def jobs(self) -> JobsReport:
        """Reports the jobs."""
        return jobs_report(
            self.entry.job_segments.jobs.values(),
            self.entry.clock.wall(),
            self.entry.job_runner.quarantined_workers(),
            self.entry.job_runner.rounds,
        )

    def templates(self) -> object:
        """Returns the templates in force."""
        return template_summaries(self.entry.applied.templates.values())

    def vms(self) -> object:
        """Returns the VMs as recorded and as listed."""
        return vm_summaries(self.entry.view.records, self.entry.view.listings)

    def process(self) -> object:
        """Returns facts about this process."""
        usage = resource.getrusage(resource.RUSAGE_SELF)
        return {
            "pid": os.getpid(),
            "max_resident_kb": usage.ru_maxrss,
            "cpu_s": usage.ru_utime + usage.ru_stime,
            "ports": self.entry.ports,
        }

    def metrics(self) -> object:
        """Returns counters and gauges."""
        return {
            "counters": self.entry.metrics.counters,
            "gauges": self.entry.metrics.gauges,
        }

    def routing(self) -> object:
        """Returns the state of the caller's path."""
        waiting = self.entry.router.admission.queues
        return {
            "ready": self.entry.callers_api.ready,
            "in_flight": self.entry.router.in_flight,
            "waiting": {name: len(queue) for name, queue in waiting.items()},
            "outstanding": dict(self.entry.router.chooser.outstanding),
            "keys": len(self.entry.keys.records),
        }

    def store(self) -> object:
        """Returns how current the copies of the store are."""
        now = self.entry.clock.now()
        caches = (
            self.entry.config_cache,
            self.entry.vm_cache,
            self.entry.pool_cache,
            self.entry.job_cache,
        )
        return {
            cache.prefix: {
                "revision": cache.revision,
                "synced": cache.synced,
                "silent_s": now - cache.contact_s if cache.synced else None,
            }
            for cache in caches
        }
