import asyncio
import hashlib

import aiohttp
import pytest
from burdockthread_http import connection_phases
from burdockthread_http.connection_guard import ConnectionGuard
from burdockthread_http.connection_limits import PortLimits
from burdockthread_http.received_bytes import ReceivedBytes
from burdockthread_model.errors import (
    BurdockthreadError,
    ConflictError,
    ForbiddenError,
    NotFoundError,
    TemplateError,
)
from burdockthread_model.job import Job, JobState
from burdockthread_model.request import RequestClass
from burdockthread_model.verdict import Verdict
from burdockthread_operators.authentication import Authenticator
from burdockthread_operators.client import OperatorsAnswerError, operators_client
from burdockthread_operators.failed_logins import (
    MAX_FAILURES,
    MAX_REMOTES,
    WINDOW_S,
    FailedLogins,
)
from burdockthread_operators.operators_api import MAX_BODY_BYTES, OperatorsApi
from burdockthread_operators.views import Views
from burdockthread_routing.http_port import http_port

LIMITS = PortLimits(body_bytes=MAX_BODY_BYTES, connections=5)
BUDGET_BYTES = 10_000_000
RIGHTS = {
    "ann": ["read", "propose", "cancel"],
    "ben": ["read", "review", "accept"],
    "eve": [],
}
JOB = Job(
    *("job-1", "trinacria/yard-misc", "trinacria", "yard", RequestClass.STANDARD),
    *(1.0, 1.0, 0, 60.0, True, JobState.QUEUED),
    payload="private",
)


class MemoryJobs:
    def __init__(self):
        self.jobs = {JOB.job_id: JOB}

    async def list(self, state, limit):
        return [j for j in self.jobs.values() if state in ("", j.state)][:limit]

    async def cancel(self, job_id):
        if job_id not in self.jobs:
            raise NotFoundError(f"no job {job_id}")
        self.jobs[job_id] = self.jobs[job_id]._replace(state=JobState.CANCELLED)
        return self.jobs[job_id]

    async def release(self, job_id):
        return self.jobs[job_id]


class RecordingLog:
    node = "entry-1"

    def __init__(self):
        self.events = []

    def info(self, name, **fields):
        self.events.append((name, fields))

    warning = error = info

    def count(self, name):
        return sum(event == name for event, _ in self.events)


@pytest.fixture
def audit_log():
    return RecordingLog()


@pytest.fixture
def api(changes, metrics, audit_log):
    tokens = [
        {
            "operator": name,
            "token_sha256": hashlib.sha256(f"token-{name}".encode()).hexdigest(),
            "rights": rights,
        }
        for name, rights in RIGHTS.items()
    ]
    views = Views(lambda: {"entry": "entry-1"}, lambda: ["yard"], lambda: ["vm-1"])
    return OperatorsApi(
        Authenticator(tokens),
        changes,
        views,
        {"part": lambda: {"size": 1}},
        metrics,
        audit_log,
        MemoryJobs(),
    )


@pytest.fixture
def listen(api, clock, metrics, audit_log):
    def listening(limits=LIMITS, stop_timeout_s=1.0):
        return http_port(
            "operators",
            api.application(),
            api.busy,
            api.refuse,
            clock,
            audit_log,
            ConnectionGuard(ReceivedBytes(BUDGET_BYTES), metrics, audit_log),
            "127.0.0.1",
            0,
            limits,
            stop_timeout_s=stop_timeout_s,
        )

    return listening


@pytest.fixture
async def port(listen):
    async with listen() as number:
        yield number


@pytest.fixture
def url(port):
    return f"http://127.0.0.1:{port}"


@pytest.fixture
async def ann(url):
    async with operators_client(url, "token-ann") as client:
        yield client


@pytest.fixture
async def ben(url):
    async with operators_client(url, "token-ben") as client:
        yield client


async def test_change_from_proposal_to_acceptance(ann, ben, audit_log, template_text):
    change = await ann.propose(template_text(), 0)
    id_and_hash = (change["change_id"], change["content_hash"])
    shown = await ben.change(change["change_id"])
    assert shown["document"] == change["document"]
    await ben.review(*id_and_hash, approve=True)
    accepted = await ben.accept(*id_and_hash)
    assert await ben.accept(*id_and_hash) == accepted
    page = await ann.history("yard")
    assert [entry["state"] for entry in page["changes"]] == ["accepted"]
    assert "document" not in page["changes"][0]
    assert audit_log.count("change_accepted") == 2


async def test_reports_are_served_and_the_dump_is_audited(ann, audit_log):
    assert await ann.status() == {"entry": "entry-1"}
    assert await ann.dump() == {"part": {"size": 1}}
    assert await ann.vms() == ["vm-1"]
    assert await ann.templates() == ["yard"]
    assert audit_log.count("dump") == 1


async def test_jobs_are_listed_without_payload_and_cancelled_twice(ann, ben, audit_log):
    (job,) = await ann.jobs("queued")
    assert job["job_id"] == "job-1"
    assert "payload" not in job
    for _ in range(2):
        assert (await ann.cancel_job("job-1"))["state"] == "cancelled"
    assert audit_log.count("job_cancelled") == 2
    with pytest.raises(NotFoundError, match="no job a/b"):
        await ann.cancel_job("a/b")
    with pytest.raises(ForbiddenError, match="ben has no right to cancel"):
        await ben.cancel_job("job-1")


async def test_every_action_requires_a_right(url, template_text, audit_log, metrics):
    async with operators_client(url, "token-eve") as eve:
        for call in (
            *(eve.status(), eve.dump(), eve.vms(), eve.templates(), eve.jobs()),
            *(eve.cancel_job("a"), eve.release_job("a"), eve.change("yard:1")),
            *(eve.propose(template_text(), 0), eve.accept("yard:1", "")),
            *(eve.review("yard:1", "", approve=True), eve.show("yard")),
            eve.history("yard"),
        ):
            with pytest.raises(ForbiddenError, match="eve has no right"):
                await call
    assert audit_log.count("operator_forbidden") == 13
    assert metrics.counters["operators.refused.403"] == 13


@pytest.mark.parametrize(
    ("method", "path", "body", "status", "reason"),
    [
        ("GET", "/v1/nothing", b"", 404, "Not Found"),
        ("DELETE", "/v1/status", b"", 405, "Method Not Allowed"),
        ("GET", "/v1/templates/yard", b"", 404, "no accepted template yard"),
        ("GET", "/v1/templates/yard/history?before=x", b"", 422, "before"),
        ("GET", "/v1/jobs?limit=-1", b"", 422, "limit"),
        ("GET", "/v1/changes/yard:7", b"", 404, "no change yard:7"),
        ("POST", "/v1/changes", b"{", 422, "not JSON"),
        (
            "POST",
            "/v1/changes",
            b" " * (MAX_BODY_BYTES + 1),
            413,
            "the body exceeds the limit",
        ),
    ],
)
async def test_refusals_are_json_that_names_the_cause(
    url, method, path, body, status, reason
):
    headers = {"Authorization": "Bearer token-ann"}
    async with (
        aiohttp.ClientSession(url, headers=headers) as session,
        session.request(method, path, data=body) as answer,
    ):
        assert answer.status == status
        fields = await answer.json()
        assert reason in fields["error"]
        assert fields["verdict"] == "not_run"


async def test_review_without_a_decision_is_refused(ben, ann, template_text):
    change = await ann.propose(template_text(), 0)
    path = f"/v1/changes/{change['change_id']}/review"
    body = {"content_hash": change["content_hash"]}
    with pytest.raises(TemplateError, match="approve"):
        await ben.call("POST", path, json=body)


async def test_errors_of_the_store_reach_the_client(ann, ben, faulty, template_text):
    faulty.faults.down = True
    with pytest.raises(BurdockthreadError, match="service is out"):
        await ann.propose(template_text(), 0)
    faulty.faults.down = False
    await ann.propose(template_text(), 0)
    with pytest.raises(ConflictError, match="version 0, not 3"):
        await ann.propose(template_text(), 3)


async def test_requests_without_token_are_limited_and_operators_still_served(
    url, ann, audit_log, metrics
):
    statuses = []
    async with aiohttp.ClientSession(url) as session:
        for _ in range(MAX_FAILURES + 5):
            async with session.get("/v1/status") as answer:
                statuses.append(answer.status)
    assert statuses == [401] * MAX_FAILURES + [429] * 5
    assert audit_log.count("operator_unauthorized") == MAX_FAILURES
    assert metrics.counters["operators.refused.401"] == MAX_FAILURES
    assert await ann.status()


async def test_failure_counts_expire_and_are_limited_in_number(clock):
    failed = FailedLogins(clock)
    assert [failed.record_failure("a") for _ in range(MAX_FAILURES + 1)][-1]
    await clock.advance(WINDOW_S)
    assert not failed.record_failure("a")
    for number in range(MAX_REMOTES * 2):
        failed.record_failure(str(number))
    assert len(failed.failures) == MAX_REMOTES


async def test_requests_in_progress_are_limited(url, api, ann):
    api.max_requests = 0
    with pytest.raises(BurdockthreadError, match="too many requests"):
        await ann.status()


async def test_idle_connections_are_closed_for_new_ones_and_in_time(
    listen, metrics, monkeypatch
):
    monkeypatch.setattr(connection_phases, "IDLE_MARGIN_S", 0.0)
    async with (
        listen(LIMITS._replace(idle_timeout_s=0.5)) as port,
        operators_client(f"http://127.0.0.1:{port}", "token-ann") as client,
    ):
        streams = [await asyncio.open_connection("127.0.0.1", port) for _ in range(5)]
        assert await client.status()
        assert metrics.counters["clients.closed.operators.connections"] == 1
        for reader, _ in streams:
            assert await asyncio.wait_for(reader.read(), 5.0) == b""
        assert metrics.counters["clients.closed.operators.idle"] >= 4
        assert await client.status()


async def test_connection_beyond_the_limit_is_refused_if_all_have_requests(
    api, url, port
):
    released = asyncio.Event()

    async def hold(state, limit):
        await released.wait()
        return []

    api.jobs.list = hold
    request = (
        b"GET /v1/jobs HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer token-ann\r\n\r\n"
    )
    streams = [await asyncio.open_connection("127.0.0.1", port) for _ in range(5)]
    for _, writer in streams:
        writer.write(request)
    await wait_for_request(api, 5)
    async with operators_client(url, "token-ann") as client:
        with pytest.raises(BurdockthreadError, match="too many connections") as raised:
            await client.status()
    assert raised.value.verdict is Verdict.NOT_RUN
    released.set()
    for reader, writer in streams:
        assert b" 200 " in await asyncio.wait_for(reader.readline(), 5.0)
        writer.close()


# Guards against bodies that are received from anybody before the token is checked.
async def test_token_is_checked_before_the_body_arrives(port):
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(
        b"POST /v1/changes HTTP/1.1\r\nHost: a\r\nContent-Length: 200000\r\n\r\n"
    )
    answer = await asyncio.wait_for(reader.read(), 5.0)
    writer.close()
    assert answer.startswith(b"HTTP/1.1 401 ")
    assert b"\r\nConnection: close\r\n" in answer


async def test_long_request_does_not_make_its_connection_idle(
    api, listen, metrics, monkeypatch
):
    monkeypatch.setattr(connection_phases, "IDLE_MARGIN_S", 0.0)
    started, released = asyncio.Event(), asyncio.Event()

    async def hold(state, limit):
        started.set()
        await released.wait()
        return []

    api.jobs.list = hold
    async with (
        listen(LIMITS._replace(idle_timeout_s=0.2)) as port,
        operators_client(f"http://127.0.0.1:{port}", "token-ann") as client,
    ):
        idle, _ = await asyncio.open_connection("127.0.0.1", port)
        pending_jobs = asyncio.create_task(client.jobs())
        await asyncio.wait_for(started.wait(), 5.0)
        assert await asyncio.wait_for(idle.read(), 5.0) == b""
        released.set()
        assert await pending_jobs == []


async def test_incomplete_answer_leaves_the_outcome_unknown():
    async def cut(reader, writer):
        await reader.readline()
        writer.close()

    server = await asyncio.start_server(cut, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    async with operators_client(f"http://127.0.0.1:{port}", "") as client:
        with pytest.raises(OperatorsAnswerError) as raised:
            await client.accept("yard:1", "")
    assert raised.value.verdict is Verdict.UNKNOWN
    server.close()
    async with operators_client(f"http://127.0.0.1:{port}", "") as client:
        with pytest.raises(BurdockthreadError) as raised:
            await client.accept("yard:1", "")
    assert raised.value.verdict is Verdict.NOT_RUN


async def wait_for_request(api, count=1):
    """Waits until a number of requests are in progress."""
    for _ in range(200):
        if len(api.busy) >= count:
            return
        await asyncio.sleep(0.01)
    raise AssertionError("no request in progress after 200 polls")


# Guards against a stopping port that drops the rest of a request body and closes
# the connection without an answer.
async def test_partly_received_request_is_answered_when_the_port_stops(api, listen):
    port = listen()
    number = await port.__aenter__()
    reader, writer = await asyncio.open_connection("127.0.0.1", number)
    writer.write(
        b"POST /v1/changes/c1/review HTTP/1.1\r\nHost: a\r\n"
        b"Authorization: Bearer token-ben\r\nContent-Length: 17\r\n\r\n"
    )
    writer.write(b'{"approve"')
    await wait_for_request(api)
    stopping = asyncio.create_task(port.__aexit__(None, None, None))
    await asyncio.sleep(0.05)
    writer.write(b": true}")
    answer = await asyncio.wait_for(reader.read(), 5.0)
    await stopping
    writer.close()
    assert answer.startswith(b"HTTP/1.1 404 ")
    assert b"\r\nConnection: close\r\n" in answer


# Guards against a stop that ends a request without an answer when the request takes
# longer than the stop timeout.
async def test_request_in_progress_after_the_stop_timeout_is_answered(api, listen):
    async def never_ends(job_id):
        await asyncio.Event().wait()

    api.jobs.cancel = never_ends
    async with listen(stop_timeout_s=0.1) as number:
        reader, writer = await asyncio.open_connection("127.0.0.1", number)
        writer.write(
            b"POST /v1/jobs/job-1/cancel HTTP/1.1\r\nHost: a\r\n"
            b"Authorization: Bearer token-ann\r\n\r\n"
        )
        await wait_for_request(api)
    answer = await asyncio.wait_for(reader.read(), 5.0)
    writer.close()
    assert answer.startswith(b"HTTP/1.1 504 ")
    assert b'"verdict": "unknown"' in answer
