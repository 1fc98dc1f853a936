"""Accepted jobs keep the terms of their queue after operators have removed it."""

import pytest
from burdockthread_scheduling.board import JobRun
from burdockthread_scheduling.memory_runs import TaskNature
from burdockthread_scheduling.placement_policy import MemoryPolicyService
from burdockthread_scheduling.records import JobPhase, decode, encode
from burdockthread_scheduling.specs import (
    JobSpec,
    PlacementPolicyTimes,
    QueueSpec,
    QueueTerms,
)
from pool_site import CONFIGURATION, POOL, QUEUE, step

ATTEMPTS = CONFIGURATION.queues[QUEUE].max_attempts
POLICY = PlacementPolicyTimes(10, 1, 3000)
FAILS = TaskNature(duration_s=0.5, fails=True)


def remove_queue(site):
    """Removes the queue from the configuration, as operators do."""
    site.configuration = CONFIGURATION._replace(queues={})


@pytest.fixture
def queue(site):
    """The queue with a placement policy, whose jobs keep its terms."""
    found = CONFIGURATION.queues[QUEUE]._replace(placement_policy=POLICY)
    site.configuration = CONFIGURATION._replace(queues={QUEUE: found})
    return found


# Guards against a job that is given up after one attempt, because its queue had been
# removed when a new holder took it over.
@pytest.mark.parametrize("is_planned", [True, False], ids=["stopped", "killed"])
async def test_job_of_a_removed_queue_keeps_its_attempts(site, is_planned):
    site.park.add("w1", POOL)
    first = await site.holder()
    terms = CONFIGURATION.queues[QUEUE].terms()
    job = await site.submit(step(1), nature=FAILS, terms=terms)
    remove_queue(site)
    if is_planned:
        await first.hand_over()
    await site.kill(first)
    await site.holder("entry-2", "process-2")
    await site.until(lambda: site.phase(job) is JobPhase.FAILED)
    assert len(site.runs(job)) == ATTEMPTS


# The same for a job that its holder reads only after the removal.
async def test_job_read_after_the_removal_of_its_queue_keeps_its_attempts(site):
    site.park.add("w1", POOL)
    await site.holder()
    terms = CONFIGURATION.queues[QUEUE].terms()
    remove_queue(site)
    job = await site.submit(step(1), nature=FAILS, terms=terms)
    await site.until(lambda: site.phase(job) is JobPhase.FAILED)
    assert len(site.runs(job)) == ATTEMPTS


# The same cause: a new holder would start tasks on workers that the policy forbids.
async def test_job_of_a_removed_queue_keeps_its_placement_policy(site, queue):
    for worker_id in ("w1", "w2", "w3"):
        site.park.add(worker_id, POOL)
    site.policy = MemoryPolicyService()
    first = await site.holder()
    job = await site.submit(step(4), terms=queue.terms())
    remove_queue(site)
    site.policy.allowed = {"w2"}
    await site.kill(first)
    await site.holder("entry-2", "process-2")
    await site.until(lambda: site.phase(job) is JobPhase.COMPLETED)
    assert {run.worker.worker_id for run in site.runs(job)} == {"w2"}


async def test_configured_queue_goes_before_the_recorded_terms(site):
    site.park.add("w1", POOL)
    await site.holder()
    job = await site.submit(step(1), nature=FAILS, terms=QueueTerms(max_attempts=1))
    await site.until(lambda: site.phase(job) is JobPhase.FAILED)
    assert len(site.runs(job)) == ATTEMPTS


def test_terms_survive_the_store(queue):
    job = JobSpec("1" * 16, QUEUE, "text", (step(),), terms=queue.terms())
    read = decode(encode(job), JobSpec)
    assert read == job
    restored = QueueSpec.from_job(read, POOL)
    assert restored.terms() == queue.terms()
    assert JobRun(read, restored, 1, adopted=True).queue.max_attempts == ATTEMPTS
