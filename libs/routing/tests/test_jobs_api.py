import asyncio
import json

import aiohttp
import pytest
from burdockthread_http.connection_limits import PortLimits
from burdockthread_model.errors import StoreUnavailableError
from burdockthread_model.intended import PoolSpec, ServiceSpec
from burdockthread_model.job import JobState
from burdockthread_model.verdict import Verdict
from burdockthread_routing.callers_api import CallersApi
from burdockthread_routing.callers_port import callers_port
from burdockthread_routing.jobs_api import JobAccess

LIMITS = PortLimits(body_bytes=10_000, connections=50)


@pytest.fixture
def api(router, ledger, view, clock, metrics, log):
    view.pools["org/pool"] = PoolSpec("org/pool", "org", 2, 1)
    other = ServiceSpec("other/svc", "other", "org/pool")
    view.services[other.name] = other
    return CallersApi("entry-1", router, ledger, clock, metrics, log)


@pytest.fixture
async def call(api, clock):
    async with (
        callers_port(api, clock, "127.0.0.1", 0, LIMITS, stop_timeout_s=1.0) as port,
        aiohttp.ClientSession(f"http://127.0.0.1:{port}") as session,
    ):

        async def send(method, path, job=None, organisation="org", key=""):
            headers = {"Burdockthread-Organisation": organisation}
            if key:
                headers["Idempotency-Key"] = key
            async with session.request(
                method, path, json=job, headers=headers
            ) as answer:
                verdict = answer.headers["Burdockthread-Verdict"]
                return answer.status, verdict, await answer.json()

        yield send


@pytest.fixture
async def submit(call, clock, ledger):
    async def send(job, **options):
        task = asyncio.create_task(call("POST", "/jobs/svc", job, **options))
        for _ in range(1000):
            await asyncio.sleep(0.001)
            if task.done():
                break
            await clock.advance(0.05)
        return await task

    return send


async def test_a_job_is_accepted_once_recorded(submit, recorded, keys):
    status, verdict, body = await submit({"payload": {"pole": 7}}, key="k-1")
    assert (status, verdict) == (202, "ran")
    (job,) = await recorded()
    assert (job.job_id, job.payload) == (body["job"], '{"pole": 7}')
    ((key, outcome, answer),) = keys.finished
    assert (key, outcome) == ("k-1", Verdict.RAN)
    assert json.loads(answer)["job"] == job.job_id


async def test_a_store_outage_is_not_run(submit, slow_store, recorded, keys):
    slow_store.error = StoreUnavailableError("down")
    status, verdict, _ = await submit({}, key="k-1")
    assert (status, verdict) == (503, "not_run")
    assert keys.finished == [("k-1", Verdict.NOT_RUN, None)]
    assert not await recorded()


async def test_a_job_larger_than_any_vm_is_refused(submit, add_vm, recorded):
    assert (await submit({"cores": 400}))[0] == 202
    add_vm("vm-0")
    status, verdict, body = await submit({"cores": 5})
    assert (status, verdict) == (422, "not_run")
    assert "5 cores" in body["error"]
    assert (await submit({"cores": 4}))[0] == 202
    assert len(await recorded()) == 2


async def test_a_job_of_an_unknown_pool_is_refused(submit, view):
    view.pools.clear()
    status, verdict, body = await submit({})
    assert (status, verdict, body["error"]) == (422, "not_run", "no pool org/pool")


async def test_a_job_is_shown_and_cancelled_for_its_own_organisation(
    call, api, new_job
):
    jobs = {"job-1": new_job()}

    async def cancel(job_id):
        jobs[job_id] = jobs[job_id]._replace(state=JobState.CANCELLED)
        return jobs[job_id]

    api.jobs.access = JobAccess(jobs.get, cancel)
    assert (await call("GET", "/jobs/svc/job-1"))[2]["state"] == "queued"
    for method in ("GET", "DELETE"):
        found = await call(method, "/jobs/svc/job-1", organisation="other")
        assert found[:2] == (404, "not_run")
        assert (await call(method, "/jobs/svc/job-9"))[0] == 404
    assert jobs["job-1"].state is JobState.QUEUED
    for _ in range(2):
        status, _, body = await call("DELETE", "/jobs/svc/job-1")
        assert (status, body["state"]) == (200, "cancelled")


async def test_a_cancellation_that_fails_keeps_its_verdict(call, api, new_job):
    async def cancel(job_id):
        raise StoreUnavailableError("down")

    api.jobs.access = JobAccess({"job-1": new_job()}.get, cancel)
    assert (await call("DELETE", "/jobs/svc/job-1"))[:2] == (503, "not_run")
